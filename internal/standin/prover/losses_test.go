package prover

import (
	"testing"
	"time"

	"github.com/cuminstream/cuminstream/internal/operator"
)

// Guards against bookings that run twice, false "not run" answers and keys that
// stay unserved after the loss of an entry VM that holds groups (P1, P4, P5).
// Bookings are repeated through other VMs with the same IDs.
func TestHolderKilled(t *testing.T) {
	scenario := begin(t)
	for _, group := range []string{"checked.zone-a.0", "unchecked.zone-b.0"} {
		vm := scenario.holderOf(group)
		struck := clock.Now()
		scenario.must(scenario.kill(vm.Name))
		scenario.balancer.exclude(vm.Name, false)
		scenario.wait(settleTime)
		scenario.servedWithin("loss of the holder of "+group, struck, servedAgain)
		scenario.must(scenario.restartVM(scenario.ctx, vm))
		scenario.must(scenario.waitUntilWhole(scenario.ctx))
		scenario.balancer.include(vm)
	}
	scenario.finish()
}

// ownsNothing reports whether all shards and hot keys of the upstream have moved.
func ownsNothing(upstream operator.Upstream) bool {
	return upstream.Shards == 0 && len(upstream.HotKeys) == 0
}

func isUp(upstream operator.Upstream) bool { return upstream.State == "up" }

// Guards against two owners of a key, and false "not run" answers, when an
// upstream is lost or returns from a freeze after its keys have moved (P1, P4).
func TestUpstreamKilledAndFrozen(t *testing.T) {
	scenario := begin(t)
	for _, group := range []string{"checked.zone-a.0", "unchecked.zone-b.0"} {
		victim := scenario.upstreamOf(group)
		struck := clock.Now()
		scenario.must(scenario.kill(victim.Name))
		scenario.wait(settleTime)
		scenario.servedWithin("loss of "+victim.Name, struck, servedAgain)
		scenario.must(scenario.restartUpstream(scenario.ctx, victim.Name))
		scenario.must(scenario.waitForUpstream(scenario.ctx, group, victim.Name, isUp))
	}
	for _, group := range []string{"checked.zone-b.0", "unchecked.zone-a.0"} {
		victim := scenario.upstreamOf(group)
		struck := clock.Now()
		scenario.must(scenario.freeze(victim.Name))
		scenario.must(scenario.waitForUpstream(scenario.ctx, group, victim.Name, ownsNothing))
		scenario.wait(settleTime)
		scenario.must(scenario.thaw(victim.Name))
		scenario.wait(settleTime)
		scenario.servedWithin("freeze of "+victim.Name, struck, servedAgain)
	}
	scenario.finish()
}

// Guards against a holder that goes on sending after its lease has expired while
// it was paused (P1, P4, P5). Upstreams that do not check grants rely on the
// holder alone.
func TestHolderFrozen(t *testing.T) {
	scenario := begin(t)
	for _, group := range []string{"checked.zone-a.0", "unchecked.zone-b.0"} {
		for _, pause := range []time.Duration{900 * time.Millisecond, 3 * time.Second} {
			vm := scenario.holderOf(group)
			struck := clock.Now()
			scenario.must(scenario.freeze(vm.Name))
			scenario.balancer.exclude(vm.Name, true)
			scenario.wait(pause)
			scenario.must(scenario.thaw(vm.Name))
			scenario.wait(settleTime)
			scenario.servedWithin("freeze of the holder of "+group+" for "+pause.String(), struck, servedAgain)
			scenario.must(scenario.waitUntilWhole(scenario.ctx))
			scenario.balancer.include(vm)
		}
	}
	scenario.finish()
}
