package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/queuer"
	"github.com/cuminstream/cuminstream/pkg/sharder"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

const (
	requestWindow = 10 * time.Minute
	suspectWindow = time.Hour
	defaultShards = 256
)

// Dispatcher serves one group. The exported fields are set before Run, and
// Update is called before Begin. It implements replicator.LeaseHandler and
// carrier.Handler.
//
// Its mutex is taken after the locks of the store and the group and before that
// of the recorder. It is never held during a call to an upstream, to the lease
// or to Persist.
type Dispatcher struct {
	Group          string
	Clock          clocker.Clock
	UpstreamClient UpstreamClient
	Timeline       *timeliner.Recorder
	// Persist writes the assignment to the platform. It may fail; the newest
	// assignment is then offered again. It may be nil.
	Persist func(ctx context.Context, assignment replicator.Assignment) error
	// ReportOutcomes sends the outcomes of requests that were still in flight
	// here at a handover to MergeOutcomes of the current holder. If it is nil,
	// the entries are copied under the former lease, which may refuse them.
	ReportOutcomes func(ctx context.Context, entries replicator.Entries) error

	mutex     sync.Mutex
	closed    bool
	tasks     errgroup.Group
	policies  [queuer.RankCount]queuer.Policy
	service   configurer.Service
	pins      map[string]configurer.KeyRule // by key
	unpinned  map[string]bool               // keys whose rule was removed
	homes     map[uint32]bool               // nil until SetHomeShards
	leaving   map[string]bool               // from the platform's list
	upstreams map[string]*upstream
	ownership *ownership
	// strays are requests of a former holder at upstreams that have been removed.
	strays    map[string]inheritance
	parked    map[*ticket]struct{}
	budget    *budget
	loads     *loads
	tenure    *tenure
	generated uint64
}

// tenure is the time during which this VM holds the group under one term.
type tenure struct {
	lease      replicator.Lease
	term       uint64
	ctx        context.Context
	cancel     context.CancelFunc
	requests   *deduper.Table
	suspects   *suspecter.Table
	memoryLost time.Time
	began      time.Time
	fenced     bool   // no upstream can act on a grant of a former term
	proposed   uint64 // highest assignment version that was ever copied
	// seq of the newest grant. All upstreams share it, so that it also rises
	// for one that is removed and added again.
	seq     uint64
	planned time.Time
	// unsaved are losses that no majority has stored yet.
	unsaved  []suspecter.Entry
	decide   chan struct{}
	persist  chan struct{}
	watching time.Time // last tick of the watch
	ended    answerer.Kind
}

// Run keeps the dispatcher until ctx is done.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	dispatcher.End(false)
	dispatcher.mutex.Lock()
	dispatcher.closed = true
	dispatcher.mutex.Unlock()
	return dispatcher.tasks.Wait()
}

// spawn runs the function in a goroutine that Run waits for. It must be called
// without the mutex.
func (dispatcher *Dispatcher) spawn(function func()) {
	dispatcher.mutex.Lock()
	if !dispatcher.closed {
		dispatcher.tasks.Go(func() error {
			function()
			return nil
		})
		dispatcher.mutex.Unlock()
		return
	}
	dispatcher.mutex.Unlock()
	function()
}

// Begin implements replicator.LeaseHandler.
func (dispatcher *Dispatcher) Begin(ctx context.Context, lease replicator.Lease, state replicator.State) error {
	started := &tenure{
		lease: lease, term: lease.Term(), requests: deduper.New(dispatcher.Clock, requestWindow),
		suspects: suspecter.New(dispatcher.Clock, suspectWindow), memoryLost: state.StateLostAt,
		proposed: state.Assignment.Version, decide: make(chan struct{}, 1), persist: make(chan struct{}, 1),
	}
	started.ctx, started.cancel = context.WithCancel(context.WithoutCancel(ctx))
	started.requests.Merge(state.Requests)
	started.suspects.Merge(state.Suspects)
	if err := dispatcher.install(started, state); err != nil {
		started.cancel()
		return err
	}
	dispatcher.spawn(func() { dispatcher.watch(started) })
	dispatcher.spawn(func() { dispatcher.decisions(started) })
	dispatcher.spawn(func() { dispatcher.persisting(started) })
	for _, upstream := range dispatcher.names() {
		dispatcher.spawn(func() { dispatcher.renewals(started, upstream) })
	}
	if state.Assignment.Version > 0 {
		// The former holder may have been lost before the platform had its last
		// assignment.
		started.offer()
	}
	return nil
}

func (dispatcher *Dispatcher) install(started *tenure, state replicator.State) error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.upstreams == nil || dispatcher.closed {
		return fmt.Errorf("group %s has no configuration or is stopped", dispatcher.Group)
	}
	if dispatcher.tenure != nil {
		dispatcher.finishTenure(answerer.NotRunUnavailable)
	}
	now := dispatcher.Clock.Now()
	started.began, started.watching, started.planned = now, now, now
	dispatcher.tenure = started
	dispatcher.budget, dispatcher.loads = newBudget(), newLoads()
	dispatcher.parked = map[*ticket]struct{}{}
	dispatcher.ownership.begin(state.Assignment)
	for _, upstream := range dispatcher.upstreams {
		for id, inherited := range upstream.inherited {
			delete(upstream.inherited, id)
			dispatcher.ownership.end(inherited.key)
		}
	}
	for _, stray := range dispatcher.strays {
		dispatcher.ownership.end(stray.key)
	}
	dispatcher.strays = map[string]inheritance{}
	for _, left := range state.InFlight {
		dispatcher.inherit(left, now)
	}
	for _, upstream := range dispatcher.upstreams {
		upstream.begin(dispatcher.Clock, dispatcher.policies)
	}
	dispatcher.record(timeliner.Event{Kind: "dispatchBegan", Detail: fmt.Sprintf("assignment version %d", state.Assignment.Version)})
	started.wake()
	return nil
}

// inherit counts the slot and the key of a request that a former holder
// finishes. A request of this process is known already.
func (dispatcher *Dispatcher) inherit(left replicator.InFlight, now time.Time) {
	upstream := dispatcher.upstreams[left.Upstream]
	if left.Remaining <= 0 {
		return
	}
	if upstream == nil {
		if !dispatcher.ownership.runsElsewhere(left.Key, left.Upstream) {
			dispatcher.strays[left.ID] = inheritance{key: left.Key, deadline: now.Add(left.Remaining)}
			dispatcher.ownership.start(left.Key, left.Upstream)
		}
		return
	}
	if _, known := upstream.inherited[left.ID]; known {
		return
	}
	for ticket := range upstream.inFlight {
		if ticket.id == left.ID {
			return
		}
	}
	if dispatcher.ownership.runsElsewhere(left.Key, left.Upstream) {
		return // a request of the key runs here at another upstream; the key stays there
	}
	upstream.inherited[left.ID] = inheritance{key: left.Key, deadline: now.Add(left.Remaining)}
	dispatcher.ownership.start(left.Key, left.Upstream)
}

// RequestsEnded frees the slots and keys of requests of State.InFlight that the
// former holder has finished.
func (dispatcher *Dispatcher) RequestsEnded(ids []string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, upstream := range dispatcher.upstreams {
		for _, id := range ids {
			dispatcher.disinherit(upstream, id)
		}
	}
	for _, id := range ids {
		dispatcher.settleStray(id)
	}
}

func (dispatcher *Dispatcher) settleStray(id string) {
	if stray, ok := dispatcher.strays[id]; ok {
		delete(dispatcher.strays, id)
		dispatcher.keyEnded(stray.key)
	}
}

// MergeOutcomes merges the outcomes of requests that the former holder had in
// flight, and copies them to a majority.
func (dispatcher *Dispatcher) MergeOutcomes(ctx context.Context, entries replicator.Entries) error {
	tenure := dispatcher.current()
	if tenure == nil {
		return fmt.Errorf("this VM does not hold group %s", dispatcher.Group)
	}
	tenure.requests.Merge(entries.Requests)
	if err := tenure.lease.Replicate(ctx, entries); err != nil {
		return fmt.Errorf("copying outcomes of group %s: %w", dispatcher.Group, err)
	}
	dispatcher.RequestsEnded(entries.Ended)
	return nil
}

func (dispatcher *Dispatcher) disinherit(upstream *upstream, id string) {
	left, ok := upstream.inherited[id]
	if !ok {
		return
	}
	delete(upstream.inherited, id)
	upstream.applySlots()
	dispatcher.keyEnded(left.key)
	dispatcher.pump(upstream)
}

// End implements replicator.LeaseHandler.
func (dispatcher *Dispatcher) End(planned bool) []replicator.InFlight {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure == nil {
		return nil
	}
	kind := answerer.NotRunUnavailable
	if planned {
		kind = answerer.NotRunStopping
	}
	dispatcher.finishTenure(kind)
	if !planned {
		return nil
	}
	return dispatcher.inFlight()
}

// finishTenure refuses everything that was not sent yet.
func (dispatcher *Dispatcher) finishTenure(kind answerer.Kind) {
	dispatcher.record(timeliner.Event{Kind: "dispatchEnded", Detail: string(kind)})
	dispatcher.tenure.ended = kind
	dispatcher.tenure.cancel()
	dispatcher.tenure = nil
	for waiting := range dispatcher.parked {
		dispatcher.refuse(waiting, answerer.New(kind, "group %s is given up by this VM", dispatcher.Group))
	}
	for _, upstream := range dispatcher.upstreams {
		waiting := upstream.queue.Remove(func(*ticket) bool { return true })
		if upstream.solo != nil && upstream.solo.phase == solo {
			waiting = append(waiting, upstream.solo)
		}
		for _, ticket := range waiting {
			dispatcher.refuse(ticket, answerer.New(kind, "group %s is given up by this VM", dispatcher.Group))
		}
		for _, breakage := range upstream.broken {
			breakage.decide(false)
		}
		upstream.broken = nil
	}
}

func (dispatcher *Dispatcher) inFlight() []replicator.InFlight {
	var left []replicator.InFlight
	now := dispatcher.Clock.Now()
	for name, upstream := range dispatcher.upstreams {
		for ticket := range upstream.inFlight {
			if ticket.sent {
				left = append(left, replicator.InFlight{
					ID: ticket.id, Key: ticket.request.Key, Upstream: name, Remaining: ticket.request.Deadline.Sub(now),
				})
			}
		}
		for id, inherited := range upstream.inherited {
			left = append(left, replicator.InFlight{ID: id, Key: inherited.key, Upstream: name, Remaining: inherited.deadline.Sub(now)})
		}
	}
	return left
}

func (dispatcher *Dispatcher) names() []string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	names := make([]string, 0, len(dispatcher.upstreams))
	for name := range dispatcher.upstreams {
		names = append(names, name)
	}
	return names
}

func (dispatcher *Dispatcher) shards() int {
	if dispatcher.service.Shards > 0 {
		return dispatcher.service.Shards
	}
	return defaultShards
}

func (dispatcher *Dispatcher) shardOf(key string) uint32 {
	return sharder.ShardOf(key, dispatcher.shards())
}

// record adds the event under the group and its present term.
func (dispatcher *Dispatcher) record(event timeliner.Event) {
	event.Group = dispatcher.Group
	if dispatcher.tenure != nil {
		event.Term = dispatcher.tenure.term
	}
	dispatcher.Timeline.Record(event)
}

// wake asks for a decision.
func (tenure *tenure) wake() {
	select {
	case tenure.decide <- struct{}{}:
	default:
	}
}
