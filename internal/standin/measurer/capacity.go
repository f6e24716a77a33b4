package measurer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// capacitySettle is the wait after all groups are served, so that the start
	// is not measured.
	capacitySettle = 10 * time.Second
	capacityWindow = 20 * time.Second
)

// size is one point of a slope.
type size struct{ vms, zones, services int }

// slopes are the sizes at which the control costs of idle VMs are measured. In
// the first, each VM holds about one group; in the second, the number of groups
// grows on the same VMs.
var slopes = map[string][]size{
	"vms":    {{4, 4, 1}, {8, 4, 2}, {16, 4, 4}, {32, 4, 8}, {64, 4, 16}},
	"groups": {{4, 1, 4}, {4, 1, 16}, {4, 1, 64}},
}

// sample is the usage of a process or of the platform at one moment.
type sample struct {
	cpu, memory, control, calls float64
}

func (flags flags) measureSlopes(ctx context.Context, report *report) error {
	for _, slope := range flags.Slope {
		sizes, ok := slopes[slope]
		if !ok {
			return fmt.Errorf("slope %q does not exist", slope)
		}
		for _, size := range sizes {
			if err := flags.measureSize(ctx, report, slope, size); err != nil {
				return fmt.Errorf("slope %s, %d VMs, %d services: %w", slope, size.vms, size.services, err)
			}
		}
	}
	return nil
}

func (flags flags) measureSize(ctx context.Context, report *report, slope string, size size) error {
	fleet, err := launcher.NewFleet(flags.Programs)
	if err != nil {
		return err
	}
	system := &system{fleet: fleet}
	defer fleet.Close()
	if err := system.startIdle(ctx, size); err != nil {
		return err
	}
	if err := clocker.Sleep(ctx, clock, capacitySettle); err != nil {
		return err
	}
	before, err := system.usage(ctx)
	if err != nil {
		return err
	}
	if err := clocker.Sleep(ctx, clock, capacityWindow); err != nil {
		return err
	}
	after, err := system.usage(ctx)
	if err != nil {
		return err
	}
	seconds, vms := capacityWindow.Seconds(), float64(size.vms)
	phase := fmt.Sprintf("%d VMs, %d groups", size.vms, size.zones*size.services)
	add := func(quantity string, value float64, unit string) {
		report.add(line{Scenario: "slope " + slope, Policy: "cuminstream", Phase: phase, Quantity: quantity, Value: value, Unit: unit})
	}
	add("processor per VM", 100*(after.cpu-before.cpu)/seconds/vms, "% of a core")
	add("memory per VM", after.memory/vms/(1<<20), "MiB")
	add("control traffic per VM", (after.control-before.control)/seconds/vms, "bytes/s")
	add("platform calls", (after.calls-before.calls)/seconds, "calls/s")
	return nil
}

// startIdle starts VMs and services with one upstream in each zone.
func (system *system) startIdle(ctx context.Context, size size) error {
	if err := system.fleet.StartPlatform(ctx, "--vm-lag", "1s"); err != nil {
		return err
	}
	for number := range size.vms {
		vm, err := launcher.NewVM(fmt.Sprintf("vm-%03d", number), fmt.Sprintf("zone-%d", number%size.zones))
		if err != nil {
			return err
		}
		if err := system.fleet.StartVM(ctx, vm); err != nil {
			return err
		}
		system.vms = append(system.vms, vm)
	}
	var services []any
	for number := range size.services {
		service, err := system.startService(ctx, number, size.zones)
		if err != nil {
			return err
		}
		services = append(services, service)
	}
	if err := system.applySection(ctx, "idle", map[string]any{"team": "measure", "services": services}); err != nil {
		return err
	}
	for _, vm := range system.vms {
		if err := launcher.WaitForStatus(ctx, "http://"+vm.Operator+"/readyz", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}

func (system *system) startService(ctx context.Context, number, zones int) (map[string]any, error) {
	var declared []configurer.Upstream
	name := fmt.Sprintf("service%03d", number)
	for zone := range zones {
		address, err := launcher.FreeAddress()
		if err != nil {
			return nil, err
		}
		upstream := launcher.Upstream{Name: fmt.Sprintf("%s-%d", name, zone), Address: address}
		if err := system.fleet.StartUpstream(ctx, upstream); err != nil {
			return nil, err
		}
		declared = append(declared, configurer.Upstream{
			Name: upstream.Name, Zone: fmt.Sprintf("zone-%d", zone), Address: address, Slots: 2, Connections: 110,
		})
	}
	return map[string]any{
		"name": name, "pathPrefix": "/" + name, "key": configurer.KeySource{PathSegment: 2}, "upstreams": declared,
		"checksGrants": true, "rank": queuer.Lookup, "idempotent": true, "timeout": "1s",
	}, nil
}

// usage adds up the usage of all VMs, and the calls that the platform counted.
func (system *system) usage(ctx context.Context) (sample, error) {
	var total sample
	for _, vm := range system.vms {
		one, err := scrape(ctx, "http://"+vm.Operator+"/metrics")
		if err != nil {
			return total, err
		}
		total.cpu += one.cpu
		total.memory += one.memory
		total.control += one.control
	}
	var counters struct {
		Calls map[string]float64 `json:"calls"`
	}
	if err := fetch(ctx, system.fleet.Platform+"/control/counters", &counters); err != nil {
		return total, err
	}
	for _, count := range counters.Calls {
		total.calls += count
	}
	return total, nil
}

// scrape reads the metrics of one VM.
func scrape(ctx context.Context, url string) (sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return sample{}, fmt.Errorf("scrape %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return sample{}, fmt.Errorf("scrape %s: %w", url, err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return sample{}, fmt.Errorf("scrape %s: %w", url, err)
	}
	cpu, memory, links := families["process_cpu_seconds_total"], families["process_resident_memory_bytes"], families["cuminstream_link_bytes_total"]
	if cpu == nil || memory == nil {
		return sample{}, errors.New("the VM reports no processor time or memory")
	}
	one := sample{cpu: cpu.GetMetric()[0].GetCounter().GetValue(), memory: memory.GetMetric()[0].GetGauge().GetValue()}
	for _, metric := range links.GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetValue() == "control" {
				one.control += metric.GetCounter().GetValue()
			}
		}
	}
	return one, nil
}
