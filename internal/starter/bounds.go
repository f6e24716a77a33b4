package starter

import (
	"fmt"
	"log/slog"
	"math"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/cuminstream/cuminstream/internal/acceptor"
	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// newAcceptor returns the bounds of callers' connections and requests. If the settings state
// the memory of the machine, it also sets the limit of the garbage collector.
func newAcceptor(settings Settings, clock clocker.Clock, registry *prometheus.Registry) (*acceptor.Acceptor, error) {
	memory, descriptors, err := settings.machine()
	if err != nil {
		return nil, err
	}
	account := accountant.New(accountant.LimitsFor(memory), clock, slog.Default())
	accountant.NewMetrics(registry, account)
	created := &acceptor.Acceptor{Account: account, Clock: clock, MaxConnections: accountant.MaxConnections(descriptors)}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(accountant.RuntimeLimit(memory))
		created.SocketBuffer = accountant.SocketBuffer(memory)
	}
	return created, nil
}

// machine returns the memory in bytes and the number of descriptors, from the kernel where
// the settings do not state them.
func (settings Settings) machine() (memory int64, descriptors int, err error) {
	memory, descriptors = int64(settings.MemoryMB)<<20, settings.MaxFDs
	if memory == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return 0, 0, fmt.Errorf("read the memory of the machine: %w", err)
		}
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return 0, 0, fmt.Errorf("read the limit of descriptors: %w", err)
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return memory, descriptors, nil
}
