package soaker

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

func (soak *soak) serveStore() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: soak.store, ReadHeaderTimeout: time.Second}
	soak.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	soak.group.Go(func() error {
		<-soak.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// draw picks the next fault.
func (soak *soak) draw() (name string, act func() error) {
	vm := soak.vms[soak.random.IntN(len(soak.vms))]
	index := soak.random.IntN(len(soak.upstreams))
	upstream, proxy := soak.upstreams[index], soak.proxies[index]
	length := time.Duration(300+soak.random.IntN(3500)) * time.Millisecond
	kind := fault(1 + soak.random.IntN(4))
	switch soak.random.IntN(10) {
	case 0:
		return fmt.Sprintf("kill %s for %v", vm.Name, length), func() error { return soak.restart(vm, syscall.SIGKILL, length) }
	case 1:
		return "stop " + vm.Name, func() error { return soak.restart(vm, syscall.SIGTERM, 200*time.Millisecond) }
	case 2:
		return fmt.Sprintf("pause %s for %v", vm.Name, length), func() error {
			err := vm.signal(syscall.SIGSTOP)
			soak.sleep(length)
			return errors.Join(err, vm.signal(syscall.SIGCONT))
		}
	case 3:
		return "reload " + vm.Name, func() error { return vm.signal(syscall.SIGHUP) }
	case 4:
		return fmt.Sprintf("store of %s: fault %d for %v", vm.Name, kind, length), func() error { return soak.spoil(length, kind, vm.store) }
	case 5:
		var all []*Proxy
		for _, vm := range soak.vms {
			all = append(all, vm.store)
		}
		return fmt.Sprintf("store of all: fault %d for %v", kind, length), func() error { return soak.spoil(length, kind, all...) }
	case 6:
		return fmt.Sprintf("%s: fault %d for %v", upstream.ID, kind, length), func() error { return soak.spoil(length, kind, proxy) }
	case 7:
		return "restart " + upstream.ID, func() error { return soak.revive(upstream, proxy) }
	case 8:
		age := []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}[soak.random.IntN(3)]
		without := time.Duration(soak.random.IntN(1000)) * time.Millisecond
		if soak.random.IntN(2) == 0 {
			return fmt.Sprintf("restore the store from %v ago after %v without it", age, without), func() error { return soak.restore(age, without, nil) }
		}
		return fmt.Sprintf("restore the store from %v ago after %v without it, %s is lost", age, without, vm.Name), func() error { return soak.restore(age, without, vm) }
	default:
		return "new configuration", soak.configure
	}
}

// spoil sets a fault for some time.
func (soak *soak) spoil(length time.Duration, kind fault, proxies ...*Proxy) error {
	for _, proxy := range proxies {
		proxy.set(kind)
	}
	soak.sleep(length)
	for _, proxy := range proxies {
		proxy.set(none)
	}
	return nil
}

// restart ends a VM by the signal and starts it again.
func (soak *soak) restart(vm *VM, signal syscall.Signal, down time.Duration) error {
	if err := vm.stop(signal, stopLimit); err != nil {
		if errors.Is(err, errStillRuns) {
			return nil // another fault holds it: it is paused, or was started again meanwhile
		}
		return err
	}
	soak.sleep(down)
	if vm.runs() || soak.ctx.Err() != nil {
		return nil // another fault has started it, or the soak was broken off
	}
	return vm.start()
}

// revive ends an upstream and starts it again under its ID, with nothing held.
func (soak *soak) revive(upstream *Upstream, proxy *Proxy) error {
	address := upstream.listener.Addr().String()
	if err := upstream.server.Close(); err != nil {
		return err
	}
	soak.sleep(300 * time.Millisecond)
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if err := upstream.start(address, soak.group); err != nil {
		return err
	}
	return soak.store.Put("servers", upstream.ID, upstream.entry(proxy.address(), "ready"))
}
