package soaker

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// drainTime is how long an upstream serves after it has reported that it is draining:
	// drain-s and a little longer.
	drainTime = 3 * time.Second
	// unreportedDrain is how long before its report to the store its responses say it.
	unreportedDrain = 3 * time.Second
	// stopsAtOnce bounds the VMs that stop at the same time.
	stopsAtOnce = 2
)

// drawPlanned picks the next step of planned work. No request may be lost by any of them.
func (soak *soak) drawPlanned() (name string, act func() error) {
	vm := soak.vms[soak.random.IntN(len(soak.vms))]
	index := soak.random.IntN(len(soak.upstreams))
	switch soak.random.IntN(8) {
	case 0:
		return "reload " + vm.Name, func() error { return vm.signal(syscall.SIGHUP) }
	case 1:
		return "new configuration", soak.configure
	case 2:
		upstream := soak.upstreams[index]
		return "drain and restart " + upstream.ID, func() error { return soak.drainAndRestart(upstream, soak.proxies[index]) }
	case 3, 4:
		upstream := soak.upstreams[index]
		return "busy " + upstream.ID, func() error {
			upstream.mutex.Lock()
			upstream.busyUntil = time.Now().Add(busySpell)
			upstream.mutex.Unlock()
			return nil
		}
	default:
		return "stop " + vm.Name, func() error { return soak.plannedStop(vm) }
	}
}

// plannedStop stops a VM and starts it again, unless it or too many others are stopping.
func (soak *soak) plannedStop(vm *VM) error {
	if !soak.stops.begin(vm) {
		return nil
	}
	defer soak.stops.end(vm)
	if err := vm.stop(syscall.SIGTERM, stopLimit); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	soak.sleep(200 * time.Millisecond)
	if soak.ctx.Err() != nil {
		return nil
	}
	return vm.start()
}

// drainAndRestart lets an upstream drain, end and start again, unless it drains already.
func (soak *soak) drainAndRestart(upstream *Upstream, proxy *Proxy) error {
	upstream.mutex.Lock()
	draining := upstream.draining
	upstream.draining = true
	upstream.mutex.Unlock()
	if draining {
		return nil
	}
	soak.sleep(unreportedDrain) // only its responses say that it is leaving
	if err := soak.store.Put("servers", upstream.ID, upstream.entry(proxy.address(), "draining")); err != nil {
		return err
	}
	soak.sleep(drainTime)
	soak.store.Remove("servers", upstream.ID)
	soak.sleep(time.Second)
	err := soak.revive(upstream, proxy)
	upstream.mutex.Lock()
	upstream.draining = false
	upstream.mutex.Unlock()
	return err
}
