package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// latencyRate is the rate of one VM process at the design size.
	latencyRate = 2900.0
	// latencySlots are enough that no request waits for a slot.
	latencySlots = 64
	latencyWarm  = 5 * time.Second
	latencyRun   = 20 * time.Second
)

// measureLatency compares requests that go to the upstream directly, through
// the VM that holds the group, and through another VM that forwards them.
func (flags flags) measureLatency(ctx context.Context, report *report) error {
	works[queuer.Lookup].service = time.Millisecond
	fleet, err := launcher.NewFleet(flags.Programs)
	if err != nil {
		return err
	}
	defer fleet.Close()
	system := &system{fleet: fleet, slots: latencySlots}
	deployment := deployment{zones: 1, vms: 2, upstreams: 1, slots: latencySlots, connections: 2 * latencySlots}
	if err := system.startAll(ctx, deployment, false); err != nil {
		return err
	}
	if err := system.applyMixed(ctx, false); err != nil {
		return err
	}
	holder, other, err := system.holderAndOther(ctx)
	if err != nil {
		return err
	}
	for _, way := range []struct{ name, address string }{
		{"direct", system.upstreams[0].Address}, {"holder", holder.Caller}, {"forwarded", other.Caller},
	} {
		phases := []phase{
			{"warm", latencyWarm, [queuer.RankCount]float64{latencyRate}}, {"run", latencyRun, [queuer.RankCount]float64{latencyRate}},
		}
		tallies := newTallies(phases)
		target := &balancer{addresses: []string{way.address}, client: newClient()}
		sendAll(ctx, target, arrivals(flags.Seed, phases), phases, tallies)
		// The upstream bounds its connections; those of this way are not left open.
		target.client.CloseIdleConnections()
		tallies.print(report, "latency", way.name, flags.Seed, phases[1:])
	}
	return ctx.Err()
}

// holderAndOther returns the VM that holds the only group, and one that does
// not.
func (system *system) holderAndOther(ctx context.Context) (holder, other launcher.VM, err error) {
	for _, vm := range system.vms {
		var status operator.Status
		if err := fetch(ctx, "http://"+vm.Operator+"/status", &status); err != nil {
			return holder, other, err
		}
		if len(status.Groups) > 0 && status.Groups[0].Holder == vm.Name {
			holder = vm
		} else {
			other = vm
		}
	}
	if holder.Name == "" || other.Name == "" {
		return holder, other, fmt.Errorf("holder %q and another VM %q are needed", holder.Name, other.Name)
	}
	return holder, other, nil
}

// applyMixed applies the section of the mixed service and waits until every VM
// is ready and every group is served.
func (system *system) applyMixed(ctx context.Context, checksGrants bool) error {
	err := system.applySection(ctx, "mixed", map[string]any{
		"team": "measure",
		"services": []any{map[string]any{
			"name": "mixed", "pathPrefix": "/mixed", "key": configurer.KeySource{PathSegment: 2}, "upstreams": system.declared,
			"checksGrants": checksGrants, "rank": queuer.Lookup, "idempotent": true, "timeout": works[queuer.Lookup].timeout.String(),
			"routes": []any{
				map[string]any{"methods": []string{"POST"}, "rank": queuer.Transaction, "idempotent": false, "timeout": works[queuer.Transaction].timeout.String()},
				map[string]any{"methods": []string{"PUT"}, "rank": queuer.Upload, "idempotent": true, "timeout": works[queuer.Upload].timeout.String()},
			},
		}},
	})
	if err != nil {
		return err
	}
	for _, vm := range system.vms {
		if err := launcher.WaitForStatus(ctx, "http://"+vm.Operator+"/readyz", http.StatusOK); err != nil {
			return err
		}
	}
	return system.waitUntilServed(ctx)
}
