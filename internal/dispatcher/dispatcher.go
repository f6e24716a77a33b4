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
// Update is called before Begin. It implements replicator.Member and
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

	mutex            sync.Mutex
	stopped          bool
	tasks            errgroup.Group
	policies         [queuer.RankCount]queuer.Policy
	service          configurer.Service
	keyRules         map[string]configurer.KeyRule // by key
	removedRules     map[string]bool               // keys whose rule was removed
	homeShards       map[uint32]bool               // nil until SetHomeShards
	platformDraining map[string]bool               // from the platform's list
	upstreams        map[string]*upstream
	ownership        *ownership
	// strays are requests of a former holder at upstreams that have been removed.
	orphans      map[string]inheritedRequest
	parked       map[*call]struct{}
	retryBudget  *retryBudget
	loads        *loads
	leaseTerm    *leaseTerm
	generatedIDs uint64
}

// tenure is the time during which this VM holds the group under one term.
type leaseTerm struct {
	lease          replicator.Lease
	term           uint64
	ctx            context.Context
	cancel         context.CancelFunc
	requestIDs     *deduper.Table
	suspects       *suspecter.Table
	stateLostAt    time.Time
	startedAt      time.Time
	fenced         bool   // no upstream can act on a grant of a former term
	highestVersion uint64 // highest assignment version that was ever copied
	// seq of the newest grant. All upstreams share it, so that it also rises
	// for one that is removed and added again.
	grantSeq   uint64
	balancedAt time.Time
	// unsaved are losses that no majority has stored yet.
	unreplicatedLosses []suspecter.Entry
	planSignal         chan struct{}
	persistSignal      chan struct{}
	watchedAt          time.Time // last tick of the watch
	endKind            answerer.Kind
}

// Run keeps the dispatcher until ctx is done.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	dispatcher.End(false)
	dispatcher.mutex.Lock()
	dispatcher.stopped = true
	dispatcher.mutex.Unlock()
	return dispatcher.tasks.Wait()
}

// spawn runs the function in a goroutine that Run waits for. It must be called
// without the mutex.
func (dispatcher *Dispatcher) spawn(function func()) {
	dispatcher.mutex.Lock()
	if !dispatcher.stopped {
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

// Begin implements replicator.Member.
func (dispatcher *Dispatcher) Begin(ctx context.Context, lease replicator.Lease, state replicator.State) error {
	leaseTerm := &leaseTerm{
		lease: lease, term: lease.Term(), requestIDs: deduper.New(dispatcher.Clock, requestWindow),
		suspects: suspecter.New(dispatcher.Clock, suspectWindow), stateLostAt: state.MemoryLost,
		highestVersion: state.Assignment.Version, planSignal: make(chan struct{}, 1), persistSignal: make(chan struct{}, 1),
	}
	leaseTerm.ctx, leaseTerm.cancel = context.WithCancel(context.WithoutCancel(ctx))
	leaseTerm.requestIDs.Merge(state.Requests)
	leaseTerm.suspects.Merge(state.Suspects)
	if err := dispatcher.startTerm(leaseTerm, state); err != nil {
		leaseTerm.cancel()
		return err
	}
	dispatcher.spawn(func() { dispatcher.watchLoop(leaseTerm) })
	dispatcher.spawn(func() { dispatcher.planLoop(leaseTerm) })
	dispatcher.spawn(func() { dispatcher.persistLoop(leaseTerm) })
	for _, upstream := range dispatcher.upstreamNames() {
		dispatcher.spawn(func() { dispatcher.renewLoop(leaseTerm, upstream) })
	}
	if state.Assignment.Version > 0 {
		// The former holder may have been lost before the platform had its last
		// assignment.
		leaseTerm.requestPersist()
	}
	return nil
}

func (dispatcher *Dispatcher) startTerm(leaseTerm *leaseTerm, state replicator.State) error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.upstreams == nil || dispatcher.stopped {
		return fmt.Errorf("group %s has no configuration or is stopped", dispatcher.Group)
	}
	if dispatcher.leaseTerm != nil {
		dispatcher.endTerm(answerer.NotRunUnavailable)
	}
	now := dispatcher.Clock.Now()
	leaseTerm.startedAt, leaseTerm.watchedAt, leaseTerm.balancedAt = now, now, now
	dispatcher.leaseTerm = leaseTerm
	dispatcher.retryBudget, dispatcher.loads = newRetryBudget(), newLoads()
	dispatcher.parked = map[*call]struct{}{}
	dispatcher.ownership.reset(state.Assignment)
	for _, upstream := range dispatcher.upstreams {
		for id, inherited := range upstream.inherited {
			delete(upstream.inherited, id)
			dispatcher.ownership.requestEnded(inherited.key)
		}
	}
	for _, orphan := range dispatcher.orphans {
		dispatcher.ownership.requestEnded(orphan.key)
	}
	dispatcher.orphans = map[string]inheritedRequest{}
	for _, request := range state.InFlight {
		dispatcher.addInherited(request, now)
	}
	for _, upstream := range dispatcher.upstreams {
		upstream.reset(dispatcher.Clock, dispatcher.policies)
	}
	dispatcher.recordEvent(timeliner.Event{Kind: "dispatchBegan", Detail: fmt.Sprintf("assignment version %d", state.Assignment.Version)})
	leaseTerm.requestPlan()
	return nil
}

// inherit counts the slot and the key of a request that a former holder
// finishes. A request of this process is known already.
func (dispatcher *Dispatcher) addInherited(request replicator.InFlight, now time.Time) {
	upstream := dispatcher.upstreams[request.Upstream]
	if request.Left <= 0 {
		return
	}
	if upstream == nil {
		if !dispatcher.ownership.runsElsewhere(request.Key, request.Upstream) {
			dispatcher.orphans[request.ID] = inheritedRequest{key: request.Key, deadline: now.Add(request.Left)}
			dispatcher.ownership.requestStarted(request.Key, request.Upstream)
		}
		return
	}
	if _, known := upstream.inherited[request.ID]; known {
		return
	}
	for call := range upstream.inFlight {
		if call.id == request.ID {
			return
		}
	}
	if dispatcher.ownership.runsElsewhere(request.Key, request.Upstream) {
		return // a request of the key runs here at another upstream; the key stays there
	}
	upstream.inherited[request.ID] = inheritedRequest{key: request.Key, deadline: now.Add(request.Left)}
	dispatcher.ownership.requestStarted(request.Key, request.Upstream)
}

// RequestsEnded frees the slots and keys of requests of State.InFlight that the
// former holder has finished.
func (dispatcher *Dispatcher) RequestsEnded(ids []string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, upstream := range dispatcher.upstreams {
		for _, id := range ids {
			dispatcher.removeInherited(upstream, id)
		}
	}
	for _, id := range ids {
		dispatcher.removeOrphan(id)
	}
}

func (dispatcher *Dispatcher) removeOrphan(id string) {
	if orphan, ok := dispatcher.orphans[id]; ok {
		delete(dispatcher.orphans, id)
		dispatcher.keyRequestEnded(orphan.key)
	}
}

// MergeOutcomes merges the outcomes of requests that the former holder had in
// flight, and copies them to a majority.
func (dispatcher *Dispatcher) MergeOutcomes(ctx context.Context, entries replicator.Entries) error {
	leaseTerm := dispatcher.currentTerm()
	if leaseTerm == nil {
		return fmt.Errorf("this VM does not hold group %s", dispatcher.Group)
	}
	leaseTerm.requestIDs.Merge(entries.Requests)
	if err := leaseTerm.lease.Copy(ctx, entries); err != nil {
		return fmt.Errorf("copying outcomes of group %s: %w", dispatcher.Group, err)
	}
	dispatcher.RequestsEnded(entries.Ended)
	return nil
}

func (dispatcher *Dispatcher) removeInherited(upstream *upstream, id string) {
	removed, ok := upstream.inherited[id]
	if !ok {
		return
	}
	delete(upstream.inherited, id)
	upstream.applySlots()
	dispatcher.keyRequestEnded(removed.key)
	dispatcher.startQueued(upstream)
}

// End implements replicator.Member.
func (dispatcher *Dispatcher) End(planned bool) []replicator.InFlight {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm == nil {
		return nil
	}
	kind := answerer.NotRunUnavailable
	if planned {
		kind = answerer.NotRunStopping
	}
	dispatcher.endTerm(kind)
	if !planned {
		return nil
	}
	return dispatcher.requestsInFlight()
}

// finishTenure refuses everything that was not sent yet.
func (dispatcher *Dispatcher) endTerm(kind answerer.Kind) {
	dispatcher.recordEvent(timeliner.Event{Kind: "dispatchEnded", Detail: string(kind)})
	dispatcher.leaseTerm.endKind = kind
	dispatcher.leaseTerm.cancel()
	dispatcher.leaseTerm = nil
	for waiting := range dispatcher.parked {
		dispatcher.refuse(waiting, answerer.New(kind, "group %s is given up by this VM", dispatcher.Group))
	}
	for _, upstream := range dispatcher.upstreams {
		waiting := upstream.queue.Remove(func(*call) bool { return true })
		if upstream.exclusive != nil && upstream.exclusive.phase == phaseAwaitingExclusive {
			waiting = append(waiting, upstream.exclusive)
		}
		for _, call := range waiting {
			dispatcher.refuse(call, answerer.New(kind, "group %s is given up by this VM", dispatcher.Group))
		}
		for _, failure := range upstream.connectionFailures {
			failure.resolve(false)
		}
		upstream.connectionFailures = nil
	}
}

func (dispatcher *Dispatcher) requestsInFlight() []replicator.InFlight {
	var requests []replicator.InFlight
	now := dispatcher.Clock.Now()
	for name, upstream := range dispatcher.upstreams {
		for call := range upstream.inFlight {
			if call.sent {
				requests = append(requests, replicator.InFlight{
					ID: call.id, Key: call.request.Key, Upstream: name, Left: call.request.Deadline.Sub(now),
				})
			}
		}
		for id, inherited := range upstream.inherited {
			requests = append(requests, replicator.InFlight{ID: id, Key: inherited.key, Upstream: name, Left: inherited.deadline.Sub(now)})
		}
	}
	return requests
}

func (dispatcher *Dispatcher) upstreamNames() []string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	names := make([]string, 0, len(dispatcher.upstreams))
	for name := range dispatcher.upstreams {
		names = append(names, name)
	}
	return names
}

func (dispatcher *Dispatcher) shardCount() int {
	if dispatcher.service.Shards > 0 {
		return dispatcher.service.Shards
	}
	return defaultShards
}

func (dispatcher *Dispatcher) shardOf(key string) uint32 {
	return sharder.Of(key, dispatcher.shardCount())
}

// record adds the event under the group and its present term.
func (dispatcher *Dispatcher) recordEvent(event timeliner.Event) {
	event.Group = dispatcher.Group
	if dispatcher.leaseTerm != nil {
		event.Term = dispatcher.leaseTerm.term
	}
	dispatcher.Timeline.Record(event)
}

// wake asks for a decision.
func (leaseTerm *leaseTerm) requestPlan() {
	select {
	case leaseTerm.planSignal <- struct{}{}:
	default:
	}
}
