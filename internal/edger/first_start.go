package edger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/enroller"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// When the whole system starts for the first time, all VMs start within a moment, and the
// upstreams register one after the other. Each list or watch of each VM would be one of a
// few thousand billed calls, most of them for entries that change again at once. The VMs
// that become brokers therefore begin, and the others list once the brokers can relay
// what follows. A VM that restarts later does not wait.
const (
	// registrationDelay lets all VMs register before they list each other.
	registrationDelay = 400 * time.Millisecond
	// firstListDelay is the time from the start of a VM that does not become a broker to
	// its first lists. Brokers exist 2 s after the first configuration. The lists of all
	// VMs are spread over firstListSpread more: with thousands of upstreams, one list is
	// 1 MB.
	firstListDelay  = 5 * time.Second
	firstListSpread = 1500 * time.Millisecond
	// firstReportDelay is the time from a VM's first lists to the first answers of brokers.
	firstReportDelay = time.Second
	// firstLeaders is the number of VMs, those with the largest CPU shares, that begin.
	firstLeaders = 16
	// rankCheckInterval is how often a VM checks whether it is one of them.
	rankCheckInterval = 100 * time.Millisecond
)

// awaitFirstList waits until the follower may make its first call.
func (edge *Edge) awaitFirstList(ctx context.Context, follower *storer.Follower) error {
	if !edge.FirstStart {
		return nil
	}
	if err := clocker.Sleep(ctx, edge.Clock, registrationDelay); err != nil || follower.Kind == enroller.KindVMs {
		return err
	}
	for edge.Clock.Now().Before(edge.firstListAt) && !edge.enroller.IsAmongLargest(firstLeaders) {
		if err := clocker.Sleep(ctx, edge.Clock, rankCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// setFirstListTime sets when this VM lists at the first start, if it does not lead.
func (edge *Edge) setFirstListTime() {
	spread := time.Duration(xxhash.Sum64String(edge.VM) % uint64(firstListSpread))
	edge.firstListAt = edge.Clock.Now().Add(firstListDelay + spread)
}

// awaitsFirstReports reports whether the brokers cannot have answered this VM yet, because
// it has just made its first lists or is about to.
func (edge *Edge) awaitsFirstReports() bool {
	return edge.Clock.Now().Before(edge.firstListAt.Add(firstReportDelay)) && !edge.enroller.IsAmongLargest(firstLeaders)
}
