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
	action      string
	upstream    string
	key         string
	rank        queuer.Rank
	repeatOf    int // of an earlier request, where it is not 0
	serviceTime time.Duration
	pause       time.Duration
}

var actions = []string{
	"send", "send", "send", "send", "send", "send", "send", "burst", "cut", "crash", "freeze", "thaw", "kill", "drain",
	"stay", "remove", "addBack", "copyFails", "leaseExpires", "handOver", "takeOver",
}

func drawStep(t *rapid.T) step {
	return step{
		action:      rapid.SampledFrom(actions).Draw(t, "action"),
		upstream:    rapid.SampledFrom(threeUpstreams).Draw(t, "upstream"),
		key:         rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key"),
		rank:        queuer.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		repeatOf:    rapid.IntRange(0, 3).Draw(t, "repeat"),
		serviceTime: time.Duration(rapid.IntRange(1, 900).Draw(t, "service")) * time.Millisecond,
		pause:       time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
	}
}

// world is the state of one random run.
type randomTest struct {
	*harness
	mutex          sync.Mutex
	callers        sync.WaitGroup
	outcomes       map[string][]outcome // by request ID
	lastNumber     int
	term           uint64
	unplannedTerms map[uint64]bool // terms that began without a hand-over
	copies         []replicator.Entries
	stopFormer     []func()
	frozen         map[string]bool
	unreported     map[string]bool // frozen or removed at any time
}

// Guards against a key with two owners, a non-idempotent request that runs
// twice, a "not run" that is not true, and a group that does not recover, under
// any order of faults. The invariants of the asserter, such as the slots, end
// the run by a panic.
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
	for _, end := range test.stopFormer {
		end()
	}
	test.close()
	return fault
}

// keep stores copied entries as the other candidates would.
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
			step.repeatOf = 0
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
		stored := step.repeatOf%2 == 0 // by some candidates, without an answer
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

// configure removes upstreams from the document.
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

// call sends a request without waiting for its answer.
func (test *randomTest) sendRequest(step step) {
	number := test.lastNumber - step.repeatOf
	if step.repeatOf == 0 || number <= 0 || step.rank == queuer.Lookup {
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
		request.Header.Set(standin.HeaderCut, "before")
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

// succeed hands the group to another dispatcher.
func (test *randomTest) changeHolder(planned bool) {
	old := test.dispatcher
	former := test.lease
	if !planned {
		former.withLock(func() { former.expired = true })
	}
	state := replicator.State{InFlight: old.End(planned)}
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
	test.stopFormer = append(test.stopFormer, func() { test.stopDispatcher(old) })
	test.dispatcher = successor
	test.beginTerm(&lease{term: test.term, onCopy: test.storeEntries}, state)
}

// heal ends all faults and waits for the callers.
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

// checkOutcomes compares the answers with the records of the upstreams.
func (test *randomTest) checkOutcomes() error {
	starts := standin.Counts(test.records(), standin.Started)
	var faults []error
	for id, outcomes := range test.outcomes {
		answered, notRun := 0, 0
		for _, outcome := range outcomes {
			if outcome.err == nil {
				answered++
			} else if outcome.kind.Answer().NotRun {
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

// checkOwners looks for a key that starts at one upstream while another one
// runs it. Running work whose outcome its caller does not know is left out: its
// upstream was lost or its connection broke. An upstream that does not check
// grants may also start such work late, which is a stated limit; one that
// checks them may start it until it confirms the next grant.
func (test *randomTest) checkSoleOwners() error {
	type work struct {
		upstream, id string
		term         uint64
		at           time.Time
	}
	running := map[string]map[string]work{} // by key and request
	var faults []error
	for _, record := range test.upstreamRecords() {
		known := running[record.Key]
		if known == nil {
			known = map[string]work{}
			running[record.Key] = known
		}
		if record.Kind != standin.Started {
			delete(known, record.Request)
			continue
		}
		for _, other := range known {
			certain := test.answered(other.id) &&
				(test.answered(record.Request) || test.service.ChecksGrants && record.Time.After(other.at))
			if other.upstream != record.upstream && certain && !test.unreportedAtTakeover(other.upstream, record.upstream, other.term, record.Term) {
				faults = append(faults, fmt.Errorf("%v: key %s starts at %s (request %s, term %d) while %s runs it (request %s, term %d)",
					record.Time, record.Key, record.upstream, record.Request, record.Term, other.upstream, other.id, other.term))
			}
		}
		known[record.Request] = work{record.upstream, record.Request, record.Term, record.Time}
	}
	return errors.Join(faults...)
}

func (test *randomTest) answered(id string) bool {
	for _, outcome := range test.outcomes[id] {
		if outcome.err == nil {
			return true
		}
	}
	return false
}

// takenOver reports whether a holder was lost between the terms while the
// upstream of the earlier term was frozen or removed from the document: it did
// not tell the next holder what it runs. An upstream that does not check grants may also start such work
// after work of the next holder.
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
