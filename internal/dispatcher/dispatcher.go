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
	// requestWindow is how long request IDs are kept.
	requestWindow = 10 * time.Minute
	// suspectWindow is how long the losses of a fingerprint are kept.
	suspectWindow = time.Hour
	// defaultShards applies if the service does not set the number of shards.
	defaultShards = 256
)

// Dispatcher serves the requests of one group. The exported fields must be set
// before Run, and Update must be called before Begin. It implements
// replicator.LeaseHandler and carrier.Handler.
//
// The mutex is locked after the locks of the store and the group, and before
// the lock of the recorder. It is never held during a call to an upstream, to
// the lease or to Persist.
type Dispatcher struct {
	Group          string
	Clock          clocker.Clock
	UpstreamClient UpstreamClient
	Timeline       *timeliner.Recorder
	// Persist writes the assignment to the platform. After an error it is
	// called again with the newest assignment. It may be nil.
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
	platformDraining map[string]bool               // as listed by the platform
	upstreams        map[string]*upstream
	ownership        *ownership
	// orphans are requests, by ID, that a former holder sent to upstreams that
	// have been removed since.
	orphans      map[string]inheritedRequest
	parked       map[*call]struct{}
	retryBudget  *retryBudget
	loads        *loads
	leaseTerm    *leaseTerm
	generatedIDs uint64
}

// leaseTerm is the state of one term in which this VM holds the group's lease.
type leaseTerm struct {
	lease          replicator.Lease
	term           uint64
	ctx            context.Context
	cancel         context.CancelFunc
	requestIDs     *deduper.Table
	suspects       *suspecter.Table
	stateLostAt    time.Time // when the group lost its record of request IDs; zero if it did not
	startedAt      time.Time
	fenced         bool   // no upstream can still act on a grant of an earlier term
	highestVersion uint64 // highest assignment version ever replicated
	// grantSeq is the Seq of the newest grant. All upstreams share it, so that
	// it also increases for an upstream that is removed and added again.
	grantSeq   uint64
	balancedAt time.Time // last balancing round
	// unreplicatedLosses are losses that no majority has stored yet.
	unreplicatedLosses []suspecter.Entry
	planSignal         chan struct{} // wakes planLoop
	persistSignal      chan struct{} // wakes persistLoop
	watchedAt          time.Time     // last tick of watchLoop
	endKind            answerer.Kind // error kind of refusals after the term; empty before its end
}

// Run waits until ctx is done, ends the lease term and waits for all
// goroutines.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	dispatcher.End(false)
	dispatcher.mutex.Lock()
	dispatcher.stopped = true
	dispatcher.mutex.Unlock()
	return dispatcher.tasks.Wait()
}

// spawn runs the function in a goroutine that Run waits for, or synchronously
// once the dispatcher has stopped. The caller must not hold the mutex.
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

// Begin implements replicator.LeaseHandler.
func (dispatcher *Dispatcher) Begin(ctx context.Context, lease replicator.Lease, state replicator.State) error {
	leaseTerm := &leaseTerm{
		lease: lease, term: lease.Term(), requestIDs: deduper.New(dispatcher.Clock, requestWindow),
		suspects: suspecter.New(dispatcher.Clock, suspectWindow), stateLostAt: state.StateLostAt,
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
		// The former holder may have been lost before it could write its last
		// assignment to the platform.
		leaseTerm.requestPersist()
	}
	return nil
}

// startTerm resets the state of the former term and starts the new one with the
// replicated state.
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

// addInherited counts the slot and the key of a request that a former holder is
// finishing. It ignores a request that this process sent itself.
func (dispatcher *Dispatcher) addInherited(request replicator.InFlight, now time.Time) {
	upstream := dispatcher.upstreams[request.Upstream]
	if request.Remaining <= 0 {
		return
	}
	if upstream == nil {
		if !dispatcher.ownership.runsElsewhere(request.Key, request.Upstream) {
			dispatcher.orphans[request.ID] = inheritedRequest{key: request.Key, deadline: now.Add(request.Remaining)}
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
		return // a request of the key is in flight at another upstream, and the key stays there
	}
	upstream.inherited[request.ID] = inheritedRequest{key: request.Key, deadline: now.Add(request.Remaining)}
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

// removeOrphan frees the key of an orphaned request that has ended.
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
	if err := leaseTerm.lease.Replicate(ctx, entries); err != nil {
		return fmt.Errorf("copying outcomes of group %s: %w", dispatcher.Group, err)
	}
	dispatcher.RequestsEnded(entries.Ended)
	return nil
}

// removeInherited frees the slot and the key of an inherited request that has
// ended.
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

// End implements replicator.LeaseHandler.
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

// endTerm ends the lease term and refuses all calls that have not been started,
// with the given kind.
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

// requestsInFlight returns the requests that have been sent and have not ended.
func (dispatcher *Dispatcher) requestsInFlight() []replicator.InFlight {
	var requests []replicator.InFlight
	now := dispatcher.Clock.Now()
	for name, upstream := range dispatcher.upstreams {
		for call := range upstream.inFlight {
			if call.sent {
				requests = append(requests, replicator.InFlight{
					ID: call.id, Key: call.request.Key, Upstream: name, Remaining: call.request.Deadline.Sub(now),
				})
			}
		}
		for id, inherited := range upstream.inherited {
			requests = append(requests, replicator.InFlight{ID: id, Key: inherited.key, Upstream: name, Remaining: inherited.deadline.Sub(now)})
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
	return sharder.ShardOf(key, dispatcher.shardCount())
}

// recordEvent records the event with the group and its current term.
func (dispatcher *Dispatcher) recordEvent(event timeliner.Event) {
	event.Group = dispatcher.Group
	if dispatcher.leaseTerm != nil {
		event.Term = dispatcher.leaseTerm.term
	}
	dispatcher.Timeline.Record(event)
}

// requestPlan makes planLoop update the assignment.
func (leaseTerm *leaseTerm) requestPlan() {
	select {
	case leaseTerm.planSignal <- struct{}{}:
	default:
	}
}
