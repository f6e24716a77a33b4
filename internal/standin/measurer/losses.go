package measurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	followedKeys  = 32
	followPeriod  = 80 * time.Millisecond
	followTimeout = 1500 * time.Millisecond
	lossWindow    = 3 * time.Second // after a loss, in which gaps are observed
	restWindow    = 4 * time.Second // after the restart, before the next loss
	lostGap       = 250 * time.Millisecond
)

// loss is a kind of failure whose effect on keys is measured.
type loss struct {
	name string
	// inject fails a process and returns what repairs it.
	inject func(ctx context.Context, system *system, random *rand.Rand) (victim string, repair func() error, err error)
}

var losses = []loss{
	{"entry VM killed", func(ctx context.Context, system *system, random *rand.Rand) (string, func() error, error) {
		vm, err := system.holder(ctx, random)
		if err != nil {
			return "", nil, err
		}
		err = system.fleet.Process(vm.Name).Kill()
		return vm.Name, func() error { return system.fleet.StartVM(ctx, vm) }, err
	}},
	{"entry VM frozen", func(ctx context.Context, system *system, random *rand.Rand) (string, func() error, error) {
		vm, err := system.holder(ctx, random)
		if err != nil {
			return "", nil, err
		}
		process := system.fleet.Process(vm.Name)
		return process.Name, process.Thaw, process.Freeze()
	}},
	{"upstream killed", func(ctx context.Context, system *system, random *rand.Rand) (string, func() error, error) {
		upstream := system.upstreams[random.IntN(len(system.upstreams))]
		err := system.fleet.Process(upstream.Name).Kill()
		return upstream.Name, func() error { return system.fleet.StartUpstream(ctx, upstream) }, err
	}},
	{"upstream frozen", func(_ context.Context, system *system, random *rand.Rand) (string, func() error, error) {
		process := system.fleet.Process(system.upstreams[random.IntN(len(system.upstreams))].Name)
		return process.Name, process.Thaw, process.Freeze()
	}},
}

// holder returns a VM that holds a group, whose loss is felt most.
func (system *system) holder(ctx context.Context, random *rand.Rand) (launcher.VM, error) {
	for _, place := range random.Perm(len(system.vms)) {
		vm := system.vms[place]
		var status operator.Status
		if err := fetch(ctx, "http://"+vm.Operator+"/status", &status); err != nil {
			return launcher.VM{}, err
		}
		for _, group := range status.Groups {
			if group.Holder == vm.Name {
				return vm, nil
			}
		}
	}
	return launcher.VM{}, errors.New("no VM holds a group")
}

// follower measures for how long keys go without an answer. Once a VM has
// failed, it sends nothing through that VM, because the time until the
// platform's balancer notices is not the system's.
type follower struct {
	balancer *balancer
	mutex    sync.Mutex
	gaps     map[string]time.Duration
	results  map[string]int
	excluded map[string]bool
	using    map[string]*use // by address
	next     int
}

// use ends the requests through a VM once the VM is excluded.
type use struct {
	context context.Context
	cancel  context.CancelFunc
}

// pick returns the next VM's address and a context that ends when the VM is
// excluded.
func (follower *follower) pick() (string, context.Context) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	addresses := follower.balancer.addresses
	for {
		follower.next++
		address := addresses[follower.next%len(addresses)]
		if follower.excluded[address] {
			continue
		}
		if follower.using[address] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			follower.using[address] = &use{ctx, cancel}
		}
		return address, follower.using[address].context
	}
}

// exclude sends nothing more through the VM, and include does so again.
func (follower *follower) exclude(address string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.excluded[address] = true
	if using := follower.using[address]; using != nil {
		using.cancel()
		delete(follower.using, address)
	}
}

func (follower *follower) include(address string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	delete(follower.excluded, address)
}

func (follower *follower) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for number := range followedKeys {
		group.Go(func() error {
			follower.follow(ctx, fmt.Sprintf("followed-%d", number))
			return nil
		})
	}
	return group.Wait()
}

func (follower *follower) follow(ctx context.Context, key string) {
	last := clock.Now()
	for ctx.Err() == nil {
		began := clock.Now()
		result := follower.try(ctx, key)
		if ctx.Err() != nil {
			return
		}
		follower.mutex.Lock()
		follower.results[result]++
		if gap := clock.Now().Sub(last); gap > follower.gaps[key] {
			follower.gaps[key] = gap
		}
		follower.mutex.Unlock()
		if result == "" {
			last = clock.Now()
		}
		_ = clocker.Sleep(ctx, clock, followPeriod-clock.Now().Sub(began))
	}
}

// try sends one lookup, again through another VM if one refuses connections.
func (follower *follower) try(ctx context.Context, key string) string {
	result := ""
	for range 3 {
		attempt, cancel := context.WithTimeout(ctx, followTimeout)
		address, lost := follower.pick()
		release := context.AfterFunc(lost, cancel)
		result = call(attempt, follower.balancer.client, "http://"+address, arrival{key: key, id: "follow"})
		release()
		cancel()
		if result != "connection lost" && lost.Err() == nil {
			return result
		}
	}
	return result
}

// take returns the longest gap and the number of keys with a notable one.
func (follower *follower) take() (longest time.Duration, affected int) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	for _, gap := range follower.gaps {
		longest = max(longest, gap)
		if gap > lostGap {
			affected++
		}
	}
	follower.gaps = map[string]time.Duration{}
	return longest, affected
}

// measureLosses causes each kind of loss again and again and prints for how
// long keys were unavailable.
func (flags flags) measureLosses(ctx context.Context, report *report, deployment deployment) error {
	for _, loss := range losses {
		if len(flags.Loss) > 0 && !slices.Contains(flags.Loss, loss.name) {
			continue
		}
		if err := flags.measureLoss(ctx, report, deployment, loss); err != nil {
			return fmt.Errorf("%s: %w", loss.name, err)
		}
	}
	return nil
}

func (flags flags) measureLoss(ctx context.Context, report *report, deployment deployment, loss loss) error {
	system, err := deployment.start(ctx, flags.Programs, true)
	if err != nil {
		return err
	}
	defer system.fleet.Close()
	if err := system.applyMixed(ctx, true); err != nil {
		return err
	}
	follower := &follower{balancer: system.balancer(), gaps: map[string]time.Duration{}, results: map[string]int{}, excluded: map[string]bool{}, using: map[string]*use{}}
	following, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return follower.run(following) })
	defer group.Wait() //nolint:errcheck // run returns no error
	defer stop()
	longest, err := flags.injectAll(ctx, report, system, follower, loss)
	if err != nil {
		return err
	}
	slices.Sort(longest)
	add := func(quantity string, value float64, unit string) {
		report.add(line{Scenario: loss.name, Policy: "cuminstream", Quantity: quantity, Value: value, Unit: unit, Seed: flags.Seed})
	}
	add("losses", float64(len(longest)), "losses")
	add("unavailable median", longest[len(longest)/2].Seconds()*1000, "ms")
	add("unavailable worst", longest[len(longest)-1].Seconds()*1000, "ms")
	for result, count := range follower.results {
		add("answers "+result, float64(count), "requests")
	}
	return nil
}

// injectAll returns the longest unavailable time of each loss that affected a
// followed key.
func (flags flags) injectAll(ctx context.Context, report *report, system *system, follower *follower, loss loss) ([]time.Duration, error) {
	random := rand.New(rand.NewPCG(flags.Seed, 2))
	var all []time.Duration
	for range flags.Losses {
		if err := clocker.Sleep(ctx, clock, restWindow); err != nil {
			return nil, err
		}
		follower.take()
		victim, repair, err := loss.inject(ctx, system, random)
		if err != nil {
			return nil, err
		}
		vm := slices.IndexFunc(system.vms, func(vm launcher.VM) bool { return vm.Name == victim })
		if vm >= 0 {
			follower.exclude(system.vms[vm].Caller)
		}
		if err := clocker.Sleep(ctx, clock, lossWindow); err != nil {
			return nil, err
		}
		longest, affected := follower.take()
		report.add(line{Scenario: loss.name, Policy: "cuminstream", Phase: victim, Quantity: "unavailable", Value: longest.Seconds() * 1000, Unit: "ms", Seed: flags.Seed})
		report.add(line{Scenario: loss.name, Policy: "cuminstream", Phase: victim, Quantity: "affected", Value: float64(affected), Unit: "keys", Seed: flags.Seed})
		all = append(all, longest)
		if err := repair(); err != nil {
			return nil, err
		}
		if vm >= 0 {
			if err := launcher.WaitForStatus(ctx, "http://"+system.vms[vm].Operator+"/readyz", http.StatusOK); err != nil {
				return nil, err
			}
			follower.include(system.vms[vm].Caller)
		}
	}
	return all, nil
}
