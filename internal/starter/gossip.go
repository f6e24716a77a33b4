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
	// smallFleet is the number of VMs up to which every pair exchanges frequent
	// heartbeats, so that a frozen holder is noticed in all zones at once.
	smallFleet = 32
	// zoneWatchers is the number of VMs of a zone that watch the platform.
	zoneWatchers = 2
)

// gossipPayload travels with heartbeats.
type gossipPayload struct {
	Digest uint64            `cbor:"digest"` // of the sender's objects
	Held   map[string]uint64 `cbor:"held"`   // group -> term, of the groups that the sender serves
}

// gossip exchanges heartbeats with other VMs, and acts on what they tell.
type gossip struct {
	settings  Settings
	tracker   *tracker.Tracker
	exchange  *exchange
	locator   *locator.Locator
	recorder  *timeliner.Recorder
	heartbeat *heartbeater.Heartbeater

	// The functions are set before Run.
	held    func() map[string]uint64
	records func() []replicator.Record
	suspect func(vm string)
	// drop closes the links to a VM whose process has ended.
	drop func(vm string)
	// upstreamsLeave is told which upstreams the platform's list shows as
	// leaving.
	upstreamsLeave func(names []string)

	leaving atomic.Bool
	listed  atomic.Bool // the platform's list was available at the last attempt

	mutex  sync.Mutex
	differ map[string]uint64 // VM -> digest when it was last heard
	counts map[string]int    // VM -> number of groups that it serves
	pulls  chan struct{}
}

func newGossip(settings Settings, clock clocker.Clock, api platformer.API, tracked *tracker.Tracker, pool *linker.Pool,
	exchange *exchange, places *locator.Locator, recorder *timeliner.Recorder,
) (*gossip, error) {
	seeds, err := settings.seeds()
	if err != nil {
		return nil, err
	}
	gossip := &gossip{
		settings: settings, tracker: tracked, exchange: exchange, locator: places, recorder: recorder,
		drop: pool.Drop, differ: map[string]uint64{}, counts: map[string]int{}, pulls: make(chan struct{}, 1),
	}
	gossip.heartbeat = &heartbeater.Heartbeater{
		Self: tracker.VM{
			Name: settings.Name, Zone: settings.Zone, Address: settings.LinkAddress, OperatorAddress: settings.OperatorAddress,
			Incarnation: uint64(clock.Now().UnixMilli()),
		},
		Tracker: tracked, Caller: pool, Clock: clock, Timing: settings.Timing(), Seeds: seeds,
		GroupPeers: gossip.close, Leaving: gossip.leaving.Load, Payload: gossip.payload, OnPayload: gossip.receive,
		ListVMs: func(ctx context.Context) ([]platformer.VM, error) {
			list, err := api.VMs(ctx)
			gossip.listed.Store(err == nil)
			if err != nil {
				return nil, err
			}
			return gossip.split(list), nil
		},
	}
	return gossip, nil
}

// split returns the entry VMs of the platform's list, and tells the dispatchers
// which VMs of upstreams leave. Those have no link address; their name is that
// of the upstream.
func (gossip *gossip) split(list []platformer.VM) []platformer.VM {
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
	gossip.upstreamsLeave(leaving)
	return entries
}

func (gossip *gossip) register(registrar linker.Registrar) { gossip.heartbeat.Register(registrar) }

// leave tells the other VMs that this one is about to stop.
func (gossip *gossip) leave() { gossip.leaving.Store(true) }

// peers returns the names of the other VMs that are not gone.
func (gossip *gossip) peers() []string {
	members := gossip.tracker.Peers("")
	names := make([]string, len(members))
	for index, member := range members {
		names[index] = member.Name
	}
	return names
}

// close returns the VMs that share a group with this one, or all VMs of a small
// fleet.
func (gossip *gossip) close() []string {
	if names := gossip.peers(); len(names) < smallFleet {
		return names
	}
	shared := map[string]bool{}
	for _, record := range gossip.records() {
		for _, vm := range slices.Concat(record.Candidates, record.Previous) {
			shared[vm] = true
		}
	}
	delete(shared, gossip.settings.Name)
	return slices.Collect(maps.Keys(shared))
}

// before returns how many live VMs of the zone, or of all zones when it is
// empty, come before this one in the order of their names.
func (gossip *gossip) before(zone string) int {
	place := 0
	for _, member := range gossip.tracker.Peers(zone) {
		if member.State == tracker.Alive && member.Name < gossip.settings.Name {
			place++
		}
	}
	return place
}

func (gossip *gossip) turn() int { return gossip.before("") }

// watches reports whether this VM is one of the watchers of its zone.
func (gossip *gossip) watches() bool { return gossip.before(gossip.settings.Zone) < zoneWatchers }

func (gossip *gossip) payload() any {
	return gossipPayload{Digest: gossip.exchange.store.Digest(), Held: gossip.held()}
}

// receive takes over what another VM tells.
func (gossip *gossip) receive(from string, decode func(any) error) {
	var received gossipPayload
	if decode(&received) != nil {
		return
	}
	for group, term := range received.Held {
		gossip.locator.SetHolder(group, from, term)
	}
	gossip.mutex.Lock()
	gossip.differ[from] = received.Digest
	gossip.counts[from] = len(received.Held)
	gossip.mutex.Unlock()
	select {
	case gossip.pulls <- struct{}{}:
	default:
	}
}

// count returns the number of groups that the VM last reported to serve.
func (gossip *gossip) count(vm string) (int, bool) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	count, ok := gossip.counts[vm]
	return count, ok
}

// behind returns a VM whose objects differ from this VM's, and forgets the VMs
// that have the same.
func (gossip *gossip) behind() (string, bool) {
	digest := gossip.exchange.store.Digest()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for vm, other := range gossip.differ {
		delete(gossip.differ, vm)
		if other != digest {
			return vm, true
		}
	}
	return "", false
}

// pull fetches newer objects from the VMs whose digest differs.
func (gossip *gossip) pull(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gossip.pulls:
		}
		for vm, found := gossip.behind(); found; vm, found = gossip.behind() {
			gossip.exchange.pull(ctx, vm)
		}
	}
}

// Run exchanges heartbeats until ctx is done.
func (gossip *gossip) Run(ctx context.Context) error {
	cancel := gossip.tracker.Subscribe(gossip.changed)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return gossip.heartbeat.Run(ctx) })
	group.Go(func() error { return gossip.pull(ctx) })
	if err := group.Wait(); err != nil {
		return fmt.Errorf("heartbeats: %w", err)
	}
	return nil
}

// changed notes the transitions of other VMs.
func (gossip *gossip) changed(change tracker.Change) {
	if change.Restarted() || change.After.State == tracker.Suspected || change.After.State == tracker.Gone {
		gossip.suspect(change.After.Name)
	}
	if change.Restarted() || change.After.State == tracker.Gone {
		gossip.drop(change.After.Name)
	}
	detail := change.After.Name + " is " + change.After.State.String()
	if change.Restarted() {
		detail = change.After.Name + " was restarted"
	}
	if change.Restarted() || change.Before.State != change.After.State || change.Before.Name == "" {
		gossip.recorder.Record(timeliner.Event{Kind: "vmStateChanged", Detail: detail})
	}
}

// exchangeTimeout bounds one fetch from another VM.
const exchangeTimeout = 2 * time.Second
