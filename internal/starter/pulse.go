package starter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// callHeartbeat carries heartbeats.
const callHeartbeat = "heartbeat"

// listPeriod is the time between two readings of the platform's list of VMs.
const listPeriod = time.Second

// beat is the payload of a heartbeat.
type beat struct {
	Address     string            `cbor:"address"`
	Operator    string            `cbor:"operator"`
	Zone        string            `cbor:"zone"`
	Leaving     bool              `cbor:"leaving"`
	Incarnation uint64            `cbor:"incarnation"`
	Digest      uint64            `cbor:"digest"`
	Held        map[string]uint64 `cbor:"held"` // group -> term
}

// pulse exchanges heartbeats with the other VMs.
type pulse struct {
	settings    Settings
	clock       clocker.Clock
	api         platformer.API
	tracker     *tracker.Tracker
	pool        *linker.Pool
	exchange    *exchange
	locator     *locator.Locator
	held        func() map[string]uint64
	incarnation uint64
	leaving     atomic.Bool
	listed      atomic.Bool // the platform's list was read at the last attempt
}

func newPulse(settings Settings, clock clocker.Clock, api platformer.API, tracked *tracker.Tracker, pool *linker.Pool,
	exchange *exchange, places *locator.Locator,
) *pulse {
	return &pulse{
		settings: settings, clock: clock, api: api, tracker: tracked, pool: pool, exchange: exchange, locator: places,
		held: func() map[string]uint64 { return nil }, incarnation: uint64(clock.Now().UnixNano()),
	}
}

func (pulse *pulse) leave() { pulse.leaving.Store(true) }

// peers returns the names of the other VMs that are not gone.
func (pulse *pulse) peers() []string {
	var names []string
	for _, member := range pulse.tracker.Peers("") {
		names = append(names, member.Name)
	}
	return names
}

// turn returns this VM's place in the order of the VMs that are alive.
func (pulse *pulse) turn() int {
	place := 0
	for _, member := range pulse.tracker.Peers("") {
		if member.State == tracker.Alive && member.Name < pulse.settings.Name {
			place++
		}
	}
	return place
}

// watches reports whether this VM is one of the two watchers of its zone.
func (pulse *pulse) watches() bool {
	const watchers = 2
	place := 0
	for _, member := range pulse.tracker.Peers(pulse.settings.Zone) {
		if member.State == tracker.Alive && member.Name < pulse.settings.Name {
			place++
		}
	}
	return place < watchers
}

func (pulse *pulse) register(registrar linker.Registrar) {
	registrar.Handle(callHeartbeat, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		var received beat
		if err := decode(&received); err != nil {
			return nil, err
		}
		pulse.receive(ctx, from, received)
		return pulse.beat(), nil
	})
}

func (pulse *pulse) beat() beat {
	return beat{
		Address: pulse.settings.LinkAddress, Operator: pulse.settings.OperatorAddress, Zone: pulse.settings.Zone,
		Leaving: pulse.leaving.Load(), Incarnation: pulse.incarnation, Digest: pulse.exchange.store.Digest(), Held: pulse.held(),
	}
}

func (pulse *pulse) receive(ctx context.Context, from string, received beat) {
	pulse.tracker.Heard(tracker.VM{
		Name: from, Zone: received.Zone, Address: received.Address, Operator: received.Operator, Incarnation: received.Incarnation, Leaving: received.Leaving,
	})
	for group, term := range received.Held {
		pulse.locator.SetHolder(group, from, term)
	}
	if pulse.exchange.begin(received.Digest) {
		pulse.exchange.pull(ctx, from)
	}
}

// Run sends heartbeats until ctx is done.
func (pulse *pulse) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		pulse.readLists(ctx)
		return nil
	})
	ticker := pulse.clock.NewTicker(pulse.settings.Heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		intervals := map[string]time.Duration{}
		for _, peer := range pulse.peers() {
			intervals[peer] = pulse.settings.Heartbeat
		}
		pulse.tracker.Watch(intervals)
		for peer := range intervals {
			group.Go(func() error {
				var answer beat
				calling, cancel := clocker.WithTimeout(ctx, pulse.clock, pulse.settings.Suspicion)
				defer cancel()
				if pulse.pool.Call(calling, peer, callHeartbeat, pulse.beat(), &answer) == nil {
					pulse.receive(ctx, peer, answer)
				}
				return nil
			})
		}
		pulse.tracker.Evaluate()
		select {
		case <-ctx.Done():
		case <-ticker.C():
		}
	}
	return group.Wait()
}

func (pulse *pulse) readLists(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := pulse.api.VMs(ctx)
		pulse.listed.Store(err == nil)
		if err != nil {
			list, _ = pulse.settings.seeds()
		}
		var vms []tracker.VM
		for _, vm := range list {
			vms = append(vms, tracker.VM{Name: vm.Name, Zone: vm.Zone, Address: vm.Address, Operator: vm.Operator, Leaving: vm.Leaving})
		}
		vms = slices.DeleteFunc(vms, func(vm tracker.VM) bool { return vm.Name == pulse.settings.Name })
		if len(vms) > 0 {
			pulse.tracker.Listed(vms)
		}
		_ = clocker.Sleep(ctx, pulse.clock, listPeriod)
	}
}
