package prover

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/replicator"
)

// storedAssignment returns the assignment of a group that the platform has.
func (scenario *scenario) storedAssignment(group string) replicator.Assignment {
	scenario.t.Helper()
	content, err := call(scenario.ctx, http.MethodGet, scenario.Platform+"/objects/assignments/"+group, "")
	scenario.must(err)
	var stored struct {
		Assignment replicator.Assignment `json:"assignment"`
	}
	scenario.must(json.Unmarshal(content, &stored))
	return stored.Assignment
}

// owns reports whether the assignment gives anything to the upstream.
func owns(assignment replicator.Assignment, upstream string) bool {
	all := append(slices.Collect(maps.Values(assignment.Shards)), slices.Collect(maps.Values(assignment.HotKeys))...)
	return slices.Contains(all, upstream)
}

// revisions returns the revision of the routing document on every running VM.
func (scenario *scenario) revisions() map[string]uint64 {
	scenario.t.Helper()
	revisions := map[string]uint64{}
	for _, vm := range scenario.running() {
		status, err := scenario.status(scenario.ctx, vm)
		scenario.must(err)
		revisions[vm.Name] = status.Revision
	}
	return revisions
}

// Guards against a system that needs the platform to repair a loss, loses its
// configuration in an outage, or forgets what was decided during it (P2, P8).
// The platform refuses connections first and hangs then; an upstream and the
// holder that moved its keys are lost in each part.
func TestPlatformDown(t *testing.T) {
	scenario := begin(t)
	before := scenario.revisions()
	for mode, group := range map[string]string{"refuse": "checked.zone-a.0", "hang": "unchecked.zone-b.0"} {
		victim := scenario.upstreamOf(group)
		assert.Assert(t, owns(scenario.storedAssignment(group), victim.Name), "%s owned nothing before the outage", victim.Name)
		scenario.must(scenario.outage(scenario.ctx, mode))
		struck := clock.Now()
		scenario.must(scenario.kill(victim.Name))
		scenario.must(scenario.waitForUpstream(scenario.ctx, group, victim.Name, ownsNothing))
		scenario.wait(settleTime)
		scenario.servedWithin(fmt.Sprintf("loss of %s, platform in mode %s", victim.Name, mode), struck, servedAgain)

		vm, struckAgain := scenario.holderOf(group), clock.Now()
		scenario.must(scenario.kill(vm.Name))
		scenario.balancer.exclude(vm.Name, false)
		scenario.wait(settleTime)
		scenario.servedWithin(fmt.Sprintf("loss of the holder of %s, platform in mode %s", group, mode), struckAgain, servedAgain)
		scenario.must(scenario.waitForUpstream(scenario.ctx, group, victim.Name, ownsNothing))
		for name, revision := range scenario.revisions() {
			assert.Equal(t, revision, before[name], "VM %s changed its configuration during the outage", name)
		}

		scenario.must(scenario.outage(scenario.ctx, ""))
		scenario.must(poll(scenario.ctx, "the platform does not learn the assignment of "+group, func() bool {
			return !owns(scenario.storedAssignment(group), victim.Name)
		}))
		scenario.must(scenario.restartUpstream(scenario.ctx, victim.Name))
		scenario.must(scenario.restartVM(scenario.ctx, vm))
		scenario.must(scenario.waitUntilWhole(scenario.ctx))
		scenario.balancer.include(vm)
		scenario.must(scenario.waitForUpstream(scenario.ctx, group, victim.Name, isUp))
	}
	scenario.finish()
}
