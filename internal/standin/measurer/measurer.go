package measurer

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

type flags struct {
	Programs   string        `default:"bin" help:"Directory of the built programs."`
	Deployment string        `default:"akwaaba" enum:"akwaaba,lochside" help:"Size of the system."`
	Scenario   []string      `default:"steady,uploadFlood,lookupFlood,bothFloods" help:"Scenarios to run."`
	Policy     []string      `default:"cuminstream,naive" help:"Policies to compare."`
	Losses     int           `default:"0" help:"Number of losses of each kind; with 0 the scenarios run instead."`
	Loss       []string      `help:"Kinds of losses; all by default."`
	Slope      []string      `help:"Measure the control costs of idle VMs at several sizes: vms, groups."`
	Latency    bool          `help:"Measure the added latency of a request instead."`
	Seed       uint64        `default:"1" help:"Seed of arrivals and keys."`
	Limit      time.Duration `default:"10m" help:"Longest duration of the whole run."`
}

// utilization of the upstreams' slots by each rank in normal operation.
var utilization = [queuer.RankCount]float64{0.2, 0.05, 0.05}

// floodFactor multiplies the capacity of all upstreams.
const floodFactor = 10

// scenario is a sequence of phases.
type scenario struct {
	name   string
	phases []phase
}

// capacity returns the requests a second of one rank that fill all slots.
func capacity(rank queuer.Rank, slots int) float64 {
	return float64(slots) / works[rank].service.Seconds()
}

// scenarios returns all scenarios for the number of slots.
func scenarios(slots int) map[string]scenario {
	var normal [queuer.RankCount]float64
	for rank := range normal {
		normal[rank] = utilization[rank] * capacity(queuer.Rank(rank), slots)
	}
	flood := func(rank queuer.Rank) [queuer.RankCount]float64 {
		rates := normal
		rates[rank] = floodFactor * capacity(rank, slots)
		return rates
	}
	warm := phase{"warm", 6 * time.Second, normal}
	before := phase{"before", 10 * time.Second, normal}
	settle := phase{"recovery", 10 * time.Second, normal}
	after := phase{"after", 10 * time.Second, normal}
	uploads := phase{"uploadFlood", 10 * time.Second, flood(queuer.Upload)}
	lookups := phase{"lookupFlood", 10 * time.Second, flood(queuer.Lookup)}
	return map[string]scenario{
		"steady":      {"steady", []phase{warm, {"steady", 30 * time.Second, normal}}},
		"uploadFlood": {"uploadFlood", []phase{warm, before, uploads, settle, after}},
		"lookupFlood": {"lookupFlood", []phase{warm, before, lookups, settle, after}},
		"bothFloods":  {"bothFloods", []phase{warm, before, uploads, lookups, settle, after}},
	}
}

// Main runs the measurements.
func Main() {
	var flags flags
	parser := kong.Parse(&flags, kong.Name("measure"),
		kong.Description("Measures the running system on loopback and prints one line of JSON for each quantity."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := clocker.WithTimeout(ctx, clock, flags.Limit)
	defer cancel()
	parser.FatalIfErrorf(flags.run(ctx))
}

func (flags flags) run(ctx context.Context) error {
	report := &report{output: os.Stdout}
	deployment := deployments[flags.Deployment]
	if flags.Latency {
		return flags.measureLatency(ctx, report)
	}
	if len(flags.Slope) > 0 {
		return flags.measureSlopes(ctx, report)
	}
	if flags.Losses > 0 {
		return flags.measureLosses(ctx, report, deployment)
	}
	known := scenarios(deployment.upstreams * deployment.slots)
	for _, name := range flags.Scenario {
		scenario, ok := known[name]
		if !ok {
			return fmt.Errorf("scenario %q does not exist", name)
		}
		for _, policy := range flags.Policy {
			if err := flags.measure(ctx, report, deployment, scenario, policy); err != nil {
				return fmt.Errorf("scenario %s, policy %s: %w", name, policy, err)
			}
		}
	}
	return nil
}

// measure runs one scenario through one policy, with fresh processes.
func (flags flags) measure(ctx context.Context, report *report, deployment deployment, scenario scenario, policy string) error {
	system, err := deployment.start(ctx, flags.Programs, policy != "naive")
	if err != nil {
		return err
	}
	defer system.fleet.Close()
	var target target = newNaive(system.upstreams, deployment.slots)
	if policy != "naive" {
		if err := system.applyMixed(ctx, true); err != nil {
			return err
		}
		target = system.balancer()
	}
	list := arrivals(flags.Seed, scenario.phases)
	tallies := newTallies(scenario.phases)
	began := clock.Now()
	sendAll(ctx, target, list, scenario.phases, tallies)
	if err := ctx.Err(); err != nil {
		return err
	}
	tallies.print(report, scenario.name, policy, flags.Seed, scenario.phases)
	system.printOwnership(ctx, report, scenario, policy, flags.Seed, began)
	return nil
}

// printOwnership writes the imbalance over upstreams after the first phase, the
// changes of ownership, and the requests that ran more than once.
func (system *system) printOwnership(ctx context.Context, report *report, scenario scenario, policy string, seed uint64, began time.Time) {
	from := began.Add(scenario.phases[0].duration)
	owners := map[string]string{}
	starts := map[string]int{}
	var most, total, moved, twice float64
	records := system.records(ctx)
	for upstream, list := range records {
		started := 0.0
		for _, record := range list {
			if record.Kind != "started" || !strings.HasPrefix(record.Request, "measure-") {
				continue
			}
			if starts[record.Request]++; starts[record.Request] == 2 {
				twice++
			}
			if before, ok := owners[record.Key]; ok && before != upstream {
				moved++
			}
			owners[record.Key] = upstream
			if record.Time.After(from) {
				started++
			}
		}
		most, total = max(most, started), total+started
	}
	add := func(quantity string, value float64, unit string) {
		report.add(line{Scenario: scenario.name, Policy: policy, Quantity: quantity, Value: value, Unit: unit, Seed: seed})
	}
	if total > 0 {
		add("imbalance of started requests", most*float64(len(records))/total, "max/mean")
	}
	add("keys with a second owner", moved, "keys")
	add("requests started twice", twice, "requests")
}
