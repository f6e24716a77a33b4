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
	action   string
	upstream string
	key      string
	rank     queuer.Rank
	repeat   int // of an earlier request, where it is not 0
	service  time.Duration
	pause    time.Duration
}

var actions = []string{
	"send", "send", "send", "send", "send", "send", "send", "burst", "cut", "crash", "freeze", "thaw", "kill", "drain",
	"stay", "remove", "addBack", "copyFails", "leaseExpires", "handOver", "takeOver",
}

func drawStep(t *rapid.T) step {
	return step{
		action:   rapid.SampledFrom(actions).Draw(t, "action"),
		upstream: rapid.SampledFrom(three).Draw(t, "upstream"),
		key:      rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key"),
		rank:     queuer.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		repeat:   rapid.IntRange(0, 3).Draw(t, "repeat"),
		service:  time.Duration(rapid.IntRange(1, 900).Draw(t, "service")) * time.Millisecond,
		pause:    time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
	}
}

// world is the state of one random run.
type world struct {
	*bench
	mutex     sync.Mutex
	callers   sync.WaitGroup
	outcomes  map[string][]outcome // by request ID
	sent      int
	term      uint64
	unplanned map[uint64]bool // terms that began without a hand-over
	copies    []replicator.Entries
	former    []func()
	frozen    map[string]bool
	silent    map[string]bool // frozen or removed at any time
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
		synctest.Test(t, func(t *testing.T) { fault = randomRun(t, checks, steps) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func randomRun(t *testing.T, checks bool, steps []step) error {
	world := &world{
		bench: newBench(t, checks, three), outcomes: map[string][]outcome{}, term: 1,
		unplanned: map[uint64]bool{}, frozen: map[string]bool{}, silent: map[string]bool{},
	}
	world.lease.onCopy = world.keep
	world.begin(world.lease, replicator.State{})
	for _, step := range steps {
		world.take(step)
		world.sleep(step.pause)
	}
	world.heal()
	fault := errors.Join(world.checkOutcomes(), world.checkOwners(), world.checkRecovery())
	for _, end := range world.former {
		end()
	}
	world.close()
	return fault
}

// keep stores copied entries as the other candidates would.
func (world *world) keep(entries replicator.Entries) error {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.copies = append(world.copies, entries)
	return nil
}

func (world *world) take(step step) {
	switch step.action {
	case "send", "cut", "crash":
		world.call(step)
	case "burst":
		for range 12 {
			step.repeat = 0
			world.call(step)
		}
	case "freeze", "thaw":
		world.frozen[step.upstream] = step.action == "freeze"
		world.silent[step.upstream] = world.silent[step.upstream] || world.frozen[step.upstream]
		world.freeze(step.upstream, step.action == "freeze")
	case "kill":
		if !world.frozen[step.upstream] {
			world.kill(step.upstream)
			world.sleep(step.service)
			world.restart(step.upstream)
		}
	case "drain":
		world.dispatcher.SetDraining([]string{step.upstream})
	case "stay":
		world.dispatcher.SetDraining(nil)
	case "copyFails":
		stored := step.repeat%2 == 0 // by some candidates, without an answer
		world.lease.set(func() {
			world.lease.onCopy = func(entries replicator.Entries) error {
				if stored {
					_ = world.keep(entries)
				}
				return errors.New("no majority")
			}
		})
		world.sleep(step.service)
		world.lease.set(func() { world.lease.onCopy = world.keep })
	case "remove", "addBack":
		world.silent[step.upstream] = true
		world.configure(map[string]bool{step.upstream: step.action == "remove"})
	case "leaseExpires":
		world.lease.set(func() { world.lease.expired = true })
		world.sleep(step.service)
		world.lease.set(func() { world.lease.expired = false })
	case "handOver", "takeOver":
		world.succeed(step.action == "handOver")
	}
}

// configure removes upstreams from the document.
func (world *world) configure(removed map[string]bool) {
	world.service.Upstreams = nil
	for _, name := range three {
		if !removed[name] {
			world.service.Upstreams = append(world.service.Upstreams,
				configurer.Upstream{Name: name, Zone: "a", Address: name + ":80", Slots: 2, Connections: 10})
		}
	}
	world.update()
}

// call sends a request without waiting for its answer.
func (world *world) call(step step) {
	number := world.sent - step.repeat
	if step.repeat == 0 || number <= 0 || step.rank == queuer.Lookup {
		world.sent++
		number = world.sent
	}
	id := fmt.Sprintf("once-%d", number)
	if step.rank == queuer.Lookup {
		id = fmt.Sprintf("lookup-%d", number)
	}
	request := world.request(id, step.key, step.rank)
	request.Header.Set(standin.HeaderServiceTime, step.service.String())
	switch step.action {
	case "cut":
		request.Header.Set(standin.HeaderCut, "before")
	case "crash":
		request.Header.Set(standin.HeaderCrash, "yes")
	}
	holder := world.dispatcher
	world.callers.Go(func() {
		got := sendTo(holder, request)
		world.mutex.Lock()
		defer world.mutex.Unlock()
		world.outcomes[id] = append(world.outcomes[id], got)
	})
}

// succeed hands the group to another dispatcher.
func (world *world) succeed(planned bool) {
	old := world.dispatcher
	former := world.lease
	if !planned {
		former.set(func() { former.expired = true })
	}
	state := replicator.State{InFlight: old.End(planned)}
	world.mutex.Lock()
	for _, entries := range world.copies {
		state.Requests = append(state.Requests, entries.Requests...)
		state.Suspects = append(state.Suspects, entries.Suspects...)
		if entries.Assignment != nil && entries.Assignment.Newer(state.Assignment) {
			state.Assignment = *entries.Assignment
		}
	}
	world.term++
	world.unplanned[world.term] = !planned
	world.mutex.Unlock()
	successor := world.successor()
	successor.SetHomeShards(allShards())
	world.report.Store(successor)
	world.former = append(world.former, func() { world.end(old) })
	world.dispatcher = successor
	world.begin(&lease{term: world.term, onCopy: world.keep}, state)
}

// heal ends all faults and waits for the callers.
func (world *world) heal() {
	for name := range world.nodes {
		world.frozen[name] = false
		world.freeze(name, false)
		select {
		case <-world.nodes[name].listener.closed: // crashed by a request
			world.restart(name)
		default:
		}
	}
	world.dispatcher.SetDraining(nil)
	world.configure(nil)
	world.callers.Wait()
	world.sleep(3 * time.Second)
}

// checkOutcomes compares the answers with the records of the upstreams.
func (world *world) checkOutcomes() error {
	starts := standin.Counts(world.records(), standin.Started)
	var faults []error
	for id, outcomes := range world.outcomes {
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

// checkOwners looks for a key that starts at one upstream while another one
// runs it. Running work whose outcome its caller does not know is left out: its
// upstream was lost or its connection broke. An upstream that does not check
// grants may also start such work late, which is a stated limit; one that
// checks them may start it until it confirms the next grant.
func (world *world) checkOwners() error {
	type work struct {
		upstream, id string
		term         uint64
		at           time.Time
	}
	running := map[string]map[string]work{} // by key and request
	var faults []error
	for _, record := range world.ownerRecords() {
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
			certain := world.certain(other.id) &&
				(world.certain(record.Request) || world.service.ChecksGrants && record.Time.After(other.at))
			if other.upstream != record.upstream && certain && !world.takenOver(other.upstream, record.upstream, other.term, record.Term) {
				faults = append(faults, fmt.Errorf("%v: key %s starts at %s (request %s, term %d) while %s runs it (request %s, term %d)",
					record.Time, record.Key, record.upstream, record.Request, record.Term, other.upstream, other.id, other.term))
			}
		}
		known[record.Request] = work{record.upstream, record.Request, record.Term, record.Time}
	}
	return errors.Join(faults...)
}

func (world *world) certain(id string) bool {
	for _, outcome := range world.outcomes[id] {
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
func (world *world) takenOver(upstream, other string, from, to uint64) bool {
	if from > to && !world.service.ChecksGrants {
		upstream, from, to = other, to, from
	}
	if !world.silent[upstream] {
		return false
	}
	for term := from + 1; term <= to; term++ {
		if world.unplanned[term] {
			return true
		}
	}
	return false
}

// checkRecovery sends a request of each key after the faults have ended.
func (world *world) checkRecovery() error {
	var faults []error
	for _, key := range strings.Split("abcdef", "") {
		if got := world.send(world.request("last-"+key, key, queuer.Transaction)); got.err != nil {
			faults = append(faults, fmt.Errorf("key %s is not served after the faults: %w", key, got.err))
		}
	}
	return errors.Join(faults...)
}
