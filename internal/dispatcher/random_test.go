package dispatcher_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	standin "github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// step is one action of a random run.
type step struct {
	action       string
	upstream     string
	key          string
	rank         queuer.Rank
	repeatOffset int // if not 0, repeats the request that was sent this many before the last one
	serviceTime  time.Duration
	pause        time.Duration
}

// actions are the possible actions of a step. An action that is listed more
// often is drawn more often.
var actions = []string{
	"send", "send", "send", "send", "send", "send", "send", "burst", "cut", "crash", "freeze", "thaw", "kill", "drain",
	"stay", "remove", "addBack", "copyFails", "leaseExpires", "handOver", "takeOver",
}

func drawStep(t *rapid.T) step {
	return step{
		action:       rapid.SampledFrom(actions).Draw(t, "action"),
		upstream:     rapid.SampledFrom(threeUpstreams).Draw(t, "upstream"),
		key:          rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key"),
		rank:         queuer.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		repeatOffset: rapid.IntRange(0, 3).Draw(t, "repeat"),
		serviceTime:  time.Duration(rapid.IntRange(1, 900).Draw(t, "service")) * time.Millisecond,
		pause:        time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
	}
}

// randomTest is the state of one random run.
type randomTest struct {
	*harness
	mutex          sync.Mutex
	callers        sync.WaitGroup
	outcomes       map[string][]outcome // by request ID
	lastNumber     int
	term           uint64
	unplannedTerms map[uint64]bool // terms that began without a handover
	copies         []replicator.Entries
	stopFormer     []func()
	frozen         map[string]bool
	unreported     map[string]bool // upstreams that were frozen or removed at any time
}

// Guards against a key with two owners, a non-idempotent request that runs
// twice, a "not run" error for a request that has run, and a group that does
// not recover, with random sequences of faults. A broken invariant of the
// asserter, such as the number of slots, ends the run with a panic.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checksGrants")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		var fault error
		synctest.Test(t, func(t *testing.T) { fault = runRandomSteps(t, checks, steps) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func runRandomSteps(t *testing.T, checks bool, steps []step) error {
	test := &randomTest{
		harness: newHarness(t, checks, threeUpstreams), outcomes: map[string][]outcome{}, term: 1,
		unplannedTerms: map[uint64]bool{}, frozen: map[string]bool{}, unreported: map[string]bool{},
	}
	test.lease.onCopy = test.storeEntries
	test.beginTerm(test.lease, replicator.State{})
	for _, step := range steps {
		test.runStep(step)
		test.sleep(step.pause)
	}
	test.endFaults()
	fault := errors.Join(test.checkOutcomes(), test.checkSoleOwners(), test.checkRecovery())
	for _, stop := range test.stopFormer {
		stop()
	}
	test.close()
	return fault
}

// storeEntries stores replicated entries as the other candidates would.
func (test *randomTest) storeEntries(entries replicator.Entries) error {
	test.mutex.Lock()
	defer test.mutex.Unlock()
	test.copies = append(test.copies, entries)
	return nil
}

func (test *randomTest) runStep(step step) {
	switch step.action {
	case "send", "cut", "crash":
		test.sendRequest(step)
	case "burst":
		for range 12 {
			step.repeatOffset = 0
			test.sendRequest(step)
		}
	case "freeze", "thaw":
		test.frozen[step.upstream] = step.action == "freeze"
		test.unreported[step.upstream] = test.unreported[step.upstream] || test.frozen[step.upstream]
		test.setFrozen(step.upstream, step.action == "freeze")
	case "kill":
		if !test.frozen[step.upstream] {
			test.killNode(step.upstream)
			test.sleep(step.serviceTime)
			test.restartNode(step.upstream)
		}
	case "drain":
		test.dispatcher.SetDraining([]string{step.upstream})
	case "stay":
		test.dispatcher.SetDraining(nil)
	case "copyFails":
		stored := step.repeatOffset%2 == 0 // some candidates store the entries, but no majority confirms them
		test.lease.withLock(func() {
			test.lease.onCopy = func(entries replicator.Entries) error {
				if stored {
					_ = test.storeEntries(entries)
				}
				return errors.New("no majority")
			}
		})
		test.sleep(step.serviceTime)
		test.lease.withLock(func() { test.lease.onCopy = test.storeEntries })
	case "remove", "addBack":
		test.unreported[step.upstream] = true
		test.removeUpstreams(map[string]bool{step.upstream: step.action == "remove"})
	case "leaseExpires":
		test.lease.withLock(func() { test.lease.expired = true })
		test.sleep(step.serviceTime)
		test.lease.withLock(func() { test.lease.expired = false })
	case "handOver", "takeOver":
		test.changeHolder(step.action == "handOver")
	}
}

// removeUpstreams sets a configuration with all upstreams except the removed
// ones.
func (test *randomTest) removeUpstreams(removed map[string]bool) {
	test.service.Upstreams = nil
	for _, name := range threeUpstreams {
		if !removed[name] {
			test.service.Upstreams = append(test.service.Upstreams,
				configurer.Upstream{Name: name, Zone: "a", Address: name + ":80", Slots: 2, Connections: 10})
		}
	}
	test.applyConfig()
}

// sendRequest sends a request without waiting for its outcome.
func (test *randomTest) sendRequest(step step) {
	number := test.lastNumber - step.repeatOffset
	if step.repeatOffset == 0 || number <= 0 || step.rank == queuer.Lookup {
		test.lastNumber++
		number = test.lastNumber
	}
	id := fmt.Sprintf("once-%d", number)
	if step.rank == queuer.Lookup {
		id = fmt.Sprintf("lookup-%d", number)
	}
	request := test.request(id, step.key, step.rank)
	request.Header.Set(standin.HeaderServiceTime, step.serviceTime.String())
	switch step.action {
	case "cut":
		request.Header.Set(standin.HeaderAbort, "before")
	case "crash":
		request.Header.Set(standin.HeaderCrash, "yes")
	}
	holder := test.dispatcher
	test.callers.Go(func() {
		got := sendTo(holder, request)
		test.mutex.Lock()
		defer test.mutex.Unlock()
		test.outcomes[id] = append(test.outcomes[id], got)
	})
}

// changeHolder makes a second dispatcher the holder of the group, by a handover
// if planned and otherwise by a takeover after the lease has expired.
func (test *randomTest) changeHolder(planned bool) {
	formerDispatcher := test.dispatcher
	formerLease := test.lease
	if !planned {
		formerLease.withLock(func() { formerLease.expired = true })
	}
	state := replicator.State{InFlight: formerDispatcher.End(planned)}
	test.mutex.Lock()
	for _, entries := range test.copies {
		state.Requests = append(state.Requests, entries.Requests...)
		state.Suspects = append(state.Suspects, entries.Suspects...)
		if entries.Assignment != nil && entries.Assignment.Newer(state.Assignment) {
			state.Assignment = *entries.Assignment
		}
	}
	test.term++
	test.unplannedTerms[test.term] = !planned
	test.mutex.Unlock()
	successor := test.successor()
	successor.SetHomeShards(allShards())
	test.currentHolder.Store(successor)
	test.stopFormer = append(test.stopFormer, func() { test.stopDispatcher(formerDispatcher) })
	test.dispatcher = successor
	test.beginTerm(&lease{term: test.term, onCopy: test.storeEntries}, state)
}

// endFaults ends all faults and waits for the callers.
func (test *randomTest) endFaults() {
	for name := range test.nodes {
		test.frozen[name] = false
		test.setFrozen(name, false)
		select {
		case <-test.nodes[name].listener.closed: // crashed by a request
			test.restartNode(name)
		default:
		}
	}
	test.dispatcher.SetDraining(nil)
	test.removeUpstreams(nil)
	test.callers.Wait()
	test.sleep(3 * time.Second)
}

// checkOutcomes compares the outcomes with the records of the upstreams.
func (test *randomTest) checkOutcomes() error {
	starts := standin.CountByRequest(test.records(), standin.Started)
	var faults []error
	for id, outcomes := range test.outcomes {
		answered, notRun := 0, 0
		for _, outcome := range outcomes {
			if outcome.err == nil {
				answered++
			} else if outcome.kind.Response().NotRun {
				notRun++
			}
			if outcome.kind == answerer.Internal {
				faults = append(faults, fmt.Errorf("%s: %w", id, outcome.err))
			}
		}
		limit := 1
		if strings.HasPrefix(id, "lookup") {
			limit = 2
		}
		if starts[id] > limit {
			faults = append(faults, fmt.Errorf("%s started %d times", id, starts[id]))
		}
		if notRun == len(outcomes) && starts[id] > 0 {
			faults = append(faults, fmt.Errorf("%s started and was answered only with not run: %v", id, outcomes))
		}
		if answered > 1 || answered > starts[id] {
			faults = append(faults, fmt.Errorf("%s started %d times and was answered %d times", id, starts[id], answered))
		}
	}
	return errors.Join(faults...)
}

// checkSoleOwners looks for a key of which a request starts at one upstream
// while another upstream runs one. It ignores running requests whose outcome is
// unknown to their caller: their upstream was lost or their connection broke.
// An upstream that does not check grants may also start such a request late,
// which is a documented limitation. An upstream that checks grants may start it
// until it confirms the next grant.
func (test *randomTest) checkSoleOwners() error {
	type startedRequest struct {
		upstream, id string
		term         uint64
		at           time.Time
	}
	running := map[string]map[string]startedRequest{} // by key and request
	var faults []error
	for _, record := range test.upstreamRecords() {
		runningOfKey := running[record.Key]
		if runningOfKey == nil {
			runningOfKey = map[string]startedRequest{}
			running[record.Key] = runningOfKey
		}
		if record.Kind != standin.Started {
			delete(runningOfKey, record.Request)
			continue
		}
		for _, other := range runningOfKey {
			certain := test.answered(other.id) &&
				(test.answered(record.Request) || test.service.ChecksGrants && record.Time.After(other.at))
			if other.upstream != record.upstream && certain && !test.unreportedAtTakeover(other.upstream, record.upstream, other.term, record.Term) {
				faults = append(faults, fmt.Errorf("%v: key %s starts at %s (request %s, term %d) while %s runs it (request %s, term %d)",
					record.Time, record.Key, record.upstream, record.Request, record.Term, other.upstream, other.id, other.term))
			}
		}
		runningOfKey[record.Request] = startedRequest{record.upstream, record.Request, record.Term, record.Time}
	}
	return errors.Join(faults...)
}

// answered reports whether a caller received the response to the request.
func (test *randomTest) answered(id string) bool {
	for _, outcome := range test.outcomes[id] {
		if outcome.err == nil {
			return true
		}
	}
	return false
}

// unreportedAtTakeover reports whether a holder was lost between the terms
// while the upstream of the earlier term was frozen or removed from the
// document, so that the next holder did not learn which requests it runs. An
// upstream that does not check grants may also start such a request after a
// request of the next holder.
func (test *randomTest) unreportedAtTakeover(upstream, other string, from, to uint64) bool {
	if from > to && !test.service.ChecksGrants {
		upstream, from, to = other, to, from
	}
	if !test.unreported[upstream] {
		return false
	}
	for term := from + 1; term <= to; term++ {
		if test.unplannedTerms[term] {
			return true
		}
	}
	return false
}

// checkRecovery sends a request of each key after the faults have ended.
func (test *randomTest) checkRecovery() error {
	var faults []error
	for _, key := range strings.Split("abcdef", "") {
		if got := test.send(test.request("last-"+key, key, queuer.Transaction)); got.err != nil {
			faults = append(faults, fmt.Errorf("key %s is not served after the faults: %w", key, got.err))
		}
	}
	return errors.Join(faults...)
}
