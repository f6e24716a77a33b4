package starter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/heartbeater"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

const (
	// fullMeshLimit is the number of VMs up to which every pair exchanges
	// heartbeats at the short interval, so that VMs in all zones detect a frozen
	// holder at the same time.
	fullMeshLimit = 32
	// watchersPerZone is the number of VMs in a zone that watch the platform.
	watchersPerZone = 2
)

// gossipPayload is the payload of heartbeats.
type gossipPayload struct {
	Digest uint64            `cbor:"digest"` // digest of the sender's objects
	Held   map[string]uint64 `cbor:"held"`   // terms of the groups that the sender serves, by group ID
}

// gossip exchanges heartbeats with other VMs, applies their payloads, and reacts
// to changes of their state.
type gossip struct {
	settings    Settings
	tracker     *tracker.Tracker
	exchange    *exchange
	locator     *locator.Locator
	recorder    *timeliner.Recorder
	heartbeater *heartbeater.Heartbeater

	// The following functions are set before Run. onSuspected is called for a VM
	// that is suspected, gone or restarted.
	heldTerms    func() map[string]uint64
	groupRecords func() []replicator.Record
	onSuspected  func(vm string)
	// closeLinks closes the links to a VM whose process has ended.
	closeLinks func(vm string)
	// setDrainingUpstreams receives the upstreams that the platform lists as
	// leaving.
	setDrainingUpstreams func(names []string)

	leaving           atomic.Bool
	platformReachable atomic.Bool // whether the last attempt to list the VMs succeeded

	mutex        sync.Mutex
	digests      map[string]uint64 // last received digest by VM, until it is compared
	groupCounts  map[string]int    // number of groups that a VM serves, by VM
	pullRequests chan struct{}
}

func newGossip(settings Settings, clock clocker.Clock, api platformer.API, vmTracker *tracker.Tracker, pool *linker.Pool,
	exchange *exchange, groupLocator *locator.Locator, recorder *timeliner.Recorder,
) (*gossip, error) {
	seeds, err := settings.seeds()
	if err != nil {
		return nil, err
	}
	gossip := &gossip{
		settings: settings, tracker: vmTracker, exchange: exchange, locator: groupLocator, recorder: recorder,
		closeLinks: pool.Drop, digests: map[string]uint64{}, groupCounts: map[string]int{}, pullRequests: make(chan struct{}, 1),
	}
	gossip.heartbeater = &heartbeater.Heartbeater{
		Self: tracker.VM{
			Name: settings.Name, Zone: settings.Zone, Address: settings.LinkAddress, OperatorAddress: settings.OperatorAddress,
			Incarnation: uint64(clock.Now().UnixMilli()),
		},
		Tracker: vmTracker, Caller: pool, Clock: clock, Timing: settings.Timing(), Seeds: seeds,
		GroupPeers: gossip.frequentPeers, Leaving: gossip.leaving.Load, Payload: gossip.currentPayload, OnPayload: gossip.applyPayload,
		ListVMs: func(ctx context.Context) ([]platformer.VM, error) {
			list, err := api.VMs(ctx)
			gossip.platformReachable.Store(err == nil)
			if err != nil {
				return nil, err
			}
			return gossip.splitVMs(list), nil
		},
	}
	return gossip, nil
}

// splitVMs returns the entry VMs of the platform's list, and passes the names of
// leaving upstream VMs to the dispatchers. Upstream VMs have no link address, and
// their name is that of the upstream.
func (gossip *gossip) splitVMs(list []platformer.VM) []platformer.VM {
	var entries []platformer.VM
	leaving := []string{}
	for _, vm := range list {
		switch {
		case vm.Address != "":
			entries = append(entries, vm)
		case vm.Leaving:
			leaving = append(leaving, vm.Name)
		}
	}
	gossip.setDrainingUpstreams(leaving)
	return entries
}

func (gossip *gossip) register(registrar linker.Registrar) { gossip.heartbeater.Register(registrar) }

// announceLeaving makes the next heartbeats report that this VM is about to stop.
func (gossip *gossip) announceLeaving() { gossip.leaving.Store(true) }

// peerNames returns the names of the other VMs that are not gone.
func (gossip *gossip) peerNames() []string {
	peers := gossip.tracker.Peers("")
	names := make([]string, len(peers))
	for index, peer := range peers {
		names[index] = peer.Name
	}
	return names
}

// frequentPeers returns the VMs with which this one exchanges heartbeats at the
// short interval: those that share a group with it, or all VMs of a fleet of up
// to fullMeshLimit VMs.
func (gossip *gossip) frequentPeers() []string {
	if names := gossip.peerNames(); len(names) < fullMeshLimit {
		return names
	}
	shared := map[string]bool{}
	for _, record := range gossip.groupRecords() {
		for _, vm := range slices.Concat(record.Candidates, record.Previous) {
			shared[vm] = true
		}
	}
	delete(shared, gossip.settings.Name)
	return slices.Collect(maps.Keys(shared))
}

// countBefore returns how many live VMs of the zone, or of all zones if zone is
// empty, sort before this one by name.
func (gossip *gossip) countBefore(zone string) int {
	count := 0
	for _, peer := range gossip.tracker.Peers(zone) {
		if peer.State == tracker.Alive && peer.Name < gossip.settings.Name {
			count++
		}
	}
	return count
}

// position returns the rank of this VM by name among all live VMs.
func (gossip *gossip) position() int { return gossip.countBefore("") }

// isWatcher reports whether this VM is one of those in its zone that watch the
// platform.
func (gossip *gossip) isWatcher() bool {
	return gossip.countBefore(gossip.settings.Zone) < watchersPerZone
}

func (gossip *gossip) currentPayload() any {
	return gossipPayload{Digest: gossip.exchange.store.Digest(), Held: gossip.heldTerms()}
}

// applyPayload records the holders, digest and group count that another VM
// reports, and requests a pull.
func (gossip *gossip) applyPayload(from string, decode func(any) error) {
	var received gossipPayload
	if decode(&received) != nil {
		return
	}
	for group, term := range received.Held {
		gossip.locator.SetHolder(group, from, term)
	}
	gossip.mutex.Lock()
	gossip.digests[from] = received.Digest
	gossip.groupCounts[from] = len(received.Held)
	gossip.mutex.Unlock()
	select {
	case gossip.pullRequests <- struct{}{}:
	default:
	}
}

// groupCount returns the number of groups that the VM last reported to serve.
func (gossip *gossip) groupCount(vm string) (int, bool) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	count, ok := gossip.groupCounts[vm]
	return count, ok
}

// nextDivergent returns a VM whose objects differ from those of this VM. It
// removes the digests that it compares.
func (gossip *gossip) nextDivergent() (string, bool) {
	digest := gossip.exchange.store.Digest()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for vm, peerDigest := range gossip.digests {
		delete(gossip.digests, vm)
		if peerDigest != digest {
			return vm, true
		}
	}
	return "", false
}

// pullLoop fetches newer objects from VMs whose digest differs, after each
// received payload.
func (gossip *gossip) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gossip.pullRequests:
		}
		for vm, ok := gossip.nextDivergent(); ok; vm, ok = gossip.nextDivergent() {
			gossip.exchange.pull(ctx, vm)
		}
	}
}

// Run exchanges heartbeats and pulls objects until ctx is done.
func (gossip *gossip) Run(ctx context.Context) error {
	cancel := gossip.tracker.Subscribe(gossip.recordChange)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return gossip.heartbeater.Run(ctx) })
	group.Go(func() error { return gossip.pullLoop(ctx) })
	if err := group.Wait(); err != nil {
		return fmt.Errorf("heartbeats: %w", err)
	}
	return nil
}

// recordChange records the state changes of other VMs in the time line. It gives
// up forwarded requests to a VM that is suspected, gone or restarted, and closes
// the links to one that is gone or restarted.
func (gossip *gossip) recordChange(change tracker.Change) {
	if change.Restarted() || change.After.State == tracker.Suspected || change.After.State == tracker.Gone {
		gossip.onSuspected(change.After.Name)
	}
	if change.Restarted() || change.After.State == tracker.Gone {
		gossip.closeLinks(change.After.Name)
	}
	detail := change.After.Name + " is " + change.After.State.String()
	if change.Restarted() {
		detail = change.After.Name + " was restarted"
	}
	if change.Restarted() || change.Before.State != change.After.State || change.Before.Name == "" {
		gossip.recorder.Record(timeliner.Event{Kind: "vmStateChanged", Detail: detail})
	}
}

// exchangeTimeout bounds one fetch call to another VM.
const exchangeTimeout = 2 * time.Second
