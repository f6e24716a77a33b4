package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options say what a soak does.
type Options struct {
	Seed uint64
	// Faults is how long faults are injected.
	Faults time.Duration
	// Binary is the entry VM's program.
	Binary string
	// Folder gets settings and logs.
	Folder    string
	VMs       int
	Upstreams int // of each of the two services
	Callers   int
	// Planned restricts the soak to planned work: stops, reloads, configurations and
	// draining upstreams. Half of the callers are then pipelines, and no request that an
	// upstream runs may end without an answer.
	Planned bool
}

// Report is what a soak has seen.
type Report struct {
	Failures []string
	Answers  map[int]int
	Steps    []string
	// Served is the share of requests that succeeded in the last seconds, without
	// faults.
	Served float64
}

// soak is a running soak.
type soak struct {
	Options
	judge     *Judge
	store     *Store
	vms       []*VM
	upstreams []*Upstream
	proxies   []*Proxy // of the upstreams
	group     *errgroup.Group
	ctx       context.Context
	random    *rand.Rand
	version   atomic.Int64 // of the configuration
	steps     []string
	began     time.Time
	served    atomic.Int64
	sent      atomic.Int64
	stops     stops
}

const (
	// startTime is the time without faults at the beginning.
	startTime = 5 * time.Second
	// healTime is the time without faults before the end is judged. Keys of an
	// upstream that could not be reached are outwaited in 14 s.
	healTime = 16 * time.Second
	// judgeCount is the number of requests that are judged at the end, judgeLimit
	// the longest wait for them.
	judgeCount = 200
	judgeLimit = 30 * time.Second
	judgePoll  = 50 * time.Millisecond
	// mustServe is the share of them that must.
	mustServe = 0.95
	// stopLimit is the time that a planned stop may take, and a second more.
	stopLimit = 7 * time.Second
)

// Run plays a soak and returns what it has seen.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	soak := &soak{
		Options: options, judge: NewJudge(), store: NewStore(), group: group, ctx: ctx,
		random: rand.New(rand.NewPCG(options.Seed, 1)), began: time.Now(),
	}
	soak.judge.answerAll = options.Planned
	err := soak.build()
	if err == nil {
		err = soak.play()
	}
	report := Report{Steps: soak.steps}
	if err == nil {
		report.Served = soak.judgeEnd()
	}
	cancel()
	err = errors.Join(err, soak.end(), group.Wait())
	report.Failures, report.Answers = soak.judge.Failures(), soak.judge.Answers
	return report, err
}

// sleep waits by the clock of the processes that it plays with, or until the soak
// is broken off.
func (soak *soak) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-soak.ctx.Done():
	}
}

// build starts the store, the upstreams and the VMs.
func (soak *soak) build() error {
	storeAddress, err := soak.serveStore()
	if err != nil {
		return err
	}
	for _, service := range []string{"keyed", "once"} {
		shared := &holders{}
		for i := range soak.Upstreams {
			upstream := &Upstream{
				ID: fmt.Sprint(service, "-", i), Service: service, Zone: fmt.Sprint("zone-", i%2), Keyed: service == "keyed", judge: soak.judge, holders: shared,
			}
			shared.all = append(shared.all, upstream)
			if err := soak.addUpstream(upstream); err != nil {
				return err
			}
		}
	}
	if err := soak.configure(); err != nil {
		return err
	}
	for i := range soak.VMs {
		proxy, err := newProxy(storeAddress, soak.group)
		if err != nil {
			return err
		}
		vm, err := newVM(soak.Folder, soak.Binary, fmt.Sprint("vm-", i), fmt.Sprint("zone-", i%2), proxy, soak.group)
		if err != nil {
			return err
		}
		soak.vms = append(soak.vms, vm)
		if err := vm.start(); err != nil {
			return err
		}
	}
	return nil
}

func (soak *soak) addUpstream(upstream *Upstream) error {
	if err := upstream.start("127.0.0.1:0", soak.group); err != nil {
		return err
	}
	proxy, err := newProxy(upstream.listener.Addr().String(), soak.group)
	if err != nil {
		return err
	}
	soak.upstreams, soak.proxies = append(soak.upstreams, upstream), append(soak.proxies, proxy)
	return soak.store.Put("servers", upstream.ID, upstream.entry(proxy.address(), "ready"))
}

// configure writes the next version of the configuration.
func (soak *soak) configure() error { return soak.putConfig(soak.version.Add(1)) }

// putConfig writes the configuration with the version.
func (soak *soak) putConfig(version int64) error {
	return soak.store.Put("config", "main", map[string]any{
		"version": fmt.Sprint("r", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service"},
			"rows": [][]any{
				{"keyed", "soak.example", "/keyed/", "safe", 1.5, 0.5, 0, 2, "keyed"},
				{"once", "soak.example", "/once/", "unsafe", 1.5, 0.5, 0, 2, "once"},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-conns", "sharded"},
			"rows":    [][]any{{"keyed", "/health", 100, true}, {"once", "/health", 100, false}},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
	})
}

// play lets callers send requests while faults come.
func (soak *soak) play() error {
	for i := range soak.Callers {
		random := rand.New(rand.NewPCG(soak.Seed, uint64(i+2)))
		soak.group.Go(func() error {
			if soak.Planned && i%2 == 0 {
				caller := &pipeline{soak: soak, number: i, depth: 1 + i/2%2*(pipelineDepth-1), random: random}
				caller.run(soak.ctx)
				return nil
			}
			soak.call(soak.ctx, i, random)
			return nil
		})
	}
	soak.sleep(startTime)
	var faults errgroup.Group
	for end := time.Now().Add(soak.Faults); time.Now().Before(end) && soak.ctx.Err() == nil; {
		name, act := soak.draw()
		if soak.Planned {
			name, act = soak.drawPlanned()
		}
		soak.steps = append(soak.steps, fmt.Sprintf("%.1f s: %s", time.Since(soak.began).Seconds(), name))
		faults.Go(act)
		soak.sleep(time.Duration(300+soak.random.IntN(1500)) * time.Millisecond)
	}
	return faults.Wait()
}

// judgeEnd waits until the system has had time to heal, and returns the share of
// requests that succeed then.
func (soak *soak) judgeEnd() float64 {
	soak.sleep(healTime)
	served, sent := soak.served.Load(), soak.sent.Load()
	for end := time.Now().Add(judgeLimit); soak.sent.Load()-sent < judgeCount && time.Now().Before(end) && soak.ctx.Err() == nil; {
		soak.sleep(judgePoll)
	}
	if soak.ctx.Err() != nil {
		return 0 // broken off: nothing to judge
	}
	share := float64(soak.served.Load()-served) / max(float64(soak.sent.Load()-sent), 1)
	if share < mustServe {
		soak.judge.mutex.Lock()
		soak.judge.fail("%.2f of the requests succeed %v after the last fault", share, healTime)
		soak.judge.mutex.Unlock()
	}
	return share
}

// end stops what the soak has started.
func (soak *soak) end() (err error) {
	for _, vm := range soak.vms {
		if vm.process != nil {
			err = errors.Join(err, vm.signal(syscall.SIGCONT), vm.stop(syscall.SIGKILL, stopLimit))
		}
		vm.store.close()
		err = errors.Join(err, vm.log.Close())
	}
	for i, upstream := range soak.upstreams {
		soak.proxies[i].close()
		err = errors.Join(err, upstream.server.Close())
	}
	return err
}

// Print writes a report.
func (report Report) Print(seed uint64) {
	fmt.Fprintf(os.Stdout, "seed %d: %d failures, answers %v, served at the end %.3f\n", seed, len(report.Failures), report.Answers, report.Served)
	for _, failure := range report.Failures {
		fmt.Fprintln(os.Stdout, "  "+failure)
	}
	if len(report.Failures) > 0 {
		for _, step := range report.Steps {
			fmt.Fprintln(os.Stdout, "    "+step)
		}
	}
}
