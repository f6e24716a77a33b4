package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	seed = 1
	// servedAgain is the target for a key after a loss.
	servedAgain = 2 * time.Second
	// plannedGap is the target for a key during a planned stop.
	plannedGap = 100 * time.Millisecond
	// settleTime is observed after each failure. It is longer than servedAgain.
	settleTime = 2500 * time.Millisecond
	// testLimit ends a test whose conditions never hold.
	testLimit = 60 * time.Second
)

var programs string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	directory, err := os.MkdirTemp("", "cuminstream-prover-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs = directory
	command := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "./cmd/cuminstreamd", "./cmd/cuminstream", "./cmd/standin-platform", "./cmd/standin-upstream")
	command.Dir = filepath.Join("..", "..", "..")
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build of the programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// scenario is a fleet under load.
type scenario struct {
	*fleet
	t        *testing.T
	ctx      context.Context
	balancer *balancer
	began    time.Time
	stop     context.CancelFunc
	loading  errgroup.Group
}

// begin starts a fleet and a load in which some bookings run for long.
func begin(t *testing.T) *scenario {
	t.Helper()
	return beginWith(t, true)
}

func beginWith(t *testing.T, long bool) *scenario {
	t.Helper()
	ctx, cancel := clocker.WithTimeout(context.Background(), clock, testLimit)
	t.Cleanup(cancel)
	fleet, err := startFleet(ctx, programs)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	scenario := &scenario{fleet: fleet, t: t, ctx: ctx, balancer: newBalancer(fleet.history, fleet.vms)}
	t.Cleanup(func() { scenario.showLogs() })
	scenario.startLoad(long)
	return scenario
}

func (scenario *scenario) startLoad(long bool) {
	load := &load{balancer: scenario.balancer, seed: seed, long: long}
	loading, stop := context.WithCancel(scenario.ctx)
	scenario.stop = stop
	scenario.loading.Go(func() error { return load.run(loading) })
	scenario.t.Cleanup(stop)
	scenario.wait(500 * time.Millisecond)
	scenario.began = clock.Now()
}

func (scenario *scenario) wait(duration time.Duration) {
	scenario.t.Helper()
	assert.NilError(scenario.t, clocker.Sleep(scenario.ctx, clock, duration))
}

// showLogs keeps the VMs' logs of a failed test in its output.
func (scenario *scenario) showLogs() {
	if !scenario.t.Failed() {
		return
	}
	for _, vm := range scenario.vms {
		content, err := os.ReadFile(filepath.Join(scenario.Directory, vm.Name+".log"))
		if err == nil {
			scenario.t.Logf("log of %s:\n%s", vm.Name, tail(string(content)))
		}
	}
}

func tail(text string) string {
	const most = 40
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}

// finish ends the load and checks the history of the run.
func (scenario *scenario) finish() []run {
	t := scenario.t
	t.Helper()
	scenario.stop()
	assert.NilError(t, scenario.loading.Wait())
	runs, err := readRuns(scenario.upstreams, scenario.history)
	assert.NilError(t, err)
	faults := scenario.history.check(runs)
	faults = append(faults, scenario.brokenInvariants(scenario.ctx)...)
	faults = append(faults, scenario.unexpectedEnds()...)
	const most = 20
	for _, fault := range faults[:min(most, len(faults))] {
		t.Error(fault)
	}
	if len(faults) > most {
		t.Errorf("%d more violations", len(faults)-most)
	}
	counts := map[string]int{}
	for _, attempt := range scenario.history.since(time.Time{}) {
		result := string(attempt.Result)
		if attempt.Err != nil {
			result = "connection lost"
		}
		counts[result]++
	}
	t.Logf("answers %v, runs %d", counts, len(runs))
	return runs
}

// servedWithin checks that every key was served again within the bound at every
// moment from the time on.
func (scenario *scenario) servedWithin(what string, from time.Time, bound time.Duration) {
	scenario.t.Helper()
	key, wait := scenario.history.longestWait(from, clock.Now())
	scenario.t.Logf("%s: longest wait for a key %v (%s)", what, wait.Round(time.Millisecond), key)
	if wait > bound {
		scenario.t.Errorf("%s: key %s was not served for %v; the bound is %v", what, key, wait, bound)
		scenario.explain(key, from)
	}
}

// explain shows what the callers of a key saw and what the VMs did since the
// time.
func (scenario *scenario) explain(key string, from time.Time) {
	scenario.t.Helper()
	for _, attempt := range scenario.history.since(from.Add(-lookupTimeout)) {
		if attempt.Lookup && attempt.Service+"/"+attempt.Key == key && (!attempt.done() || attempt.End.Sub(attempt.Start) > plannedGap) {
			scenario.t.Logf("%s to %s through %s: %d %s %v", attempt.Start.Format(timeFormat), attempt.End.Format(timeFormat),
				attempt.VM, attempt.Status, attempt.Result, attempt.Err)
		}
	}
	query := url.Values{"scope": {"fleet"}, "from": {from.UTC().Format(time.RFC3339Nano)}}
	for _, vm := range scenario.running() {
		content, err := scenario.get(scenario.ctx, "http://"+vm.Operator+"/timeline?"+query.Encode())
		var timeline operator.Timeline
		if err != nil || json.Unmarshal(content, &timeline) != nil {
			continue
		}
		for _, event := range timeline.Events {
			scenario.t.Logf("%s %s %s %s term %d %s %s", event.Time.Format(timeFormat), event.VM, event.Kind, event.Group, event.Term, event.Upstream, event.Detail)
		}
		return
	}
}

func (scenario *scenario) holderOf(group string) launcher.VM {
	scenario.t.Helper()
	vm, _, err := scenario.holder(scenario.ctx, group)
	assert.NilError(scenario.t, err)
	return vm
}

func (scenario *scenario) upstreamOf(group string) upstream {
	index := slices.IndexFunc(scenario.upstreams, func(upstream upstream) bool { return upstream.service+"."+upstream.zone+".0" == group })
	return scenario.upstreams[index]
}

func (scenario *scenario) must(err error) {
	scenario.t.Helper()
	assert.NilError(scenario.t, err)
}
