package soaker

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// VM is an entry VM: a process of the product with its settings.
type VM struct {
	Name  string
	Zone  string
	Front string

	binary   string
	settings string
	log      *os.File
	store    *Proxy
	group    *errgroup.Group

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// freePorts returns ports that were free a moment ago.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

const settingsFormat = `[self]
node-name = %q
ip = "127.0.0.1"
zone = %q
[self.limits]
memory-mb = 300
[network]
internal-port-range = [%d, %d]
[network.listen-addrs]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[platform]
heartbeat-s = 0.5
[platform.platform]
addr = %q
[terms.contract-params]
drain-s = 2
grace-s = 6
budget-ratio = 0.2
budget-window-s = 10
retry-slack = 50
hold-max-s = 10
`

func newVM(folder, binary, name, zone string, store *Proxy, group *errgroup.Group) (*VM, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	vm := &VM{Name: name, Zone: zone, Front: fmt.Sprintf("127.0.0.1:%d", ports[0]), binary: binary, store: store, group: group}
	vm.settings = filepath.Join(folder, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, zone, ports[2], ports[2], ports[0], ports[1], store.address())
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	vm.log, err = os.Create(filepath.Join(folder, name+".log"))
	return vm, err
}

// start starts the process.
func (vm *VM) start() error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	process := exec.Command(vm.binary, "--settings", vm.settings)
	process.Stdout, process.Stderr = vm.log, vm.log
	// A soak that is killed leaves no processes, paused ones included.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	vm.process, vm.ended = process, ended
	vm.starts++
	vm.group.Go(func() error {
		defer close(ended)
		_ = process.Wait() // its end is expected: a signal ends it
		return nil
	})
	return nil
}

// life returns how often the VM has started.
func (vm *VM) life() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.starts
}

// runs reports whether the process has not ended.
func (vm *VM) runs() bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	select {
	case <-vm.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, which may have ended.
func (vm *VM) signal(signal syscall.Signal) error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	err := vm.process.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// errStillRuns means that a process did not stop in its time.
var errStillRuns = errors.New("the process still runs")

// stop stops the process by the signal and waits for its end.
func (vm *VM) stop(signal syscall.Signal, limit time.Duration) error {
	if err := vm.signal(signal); err != nil {
		return err
	}
	vm.mutex.Lock()
	ended := vm.ended
	vm.mutex.Unlock()
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s: %w %v after %v", vm.Name, errStillRuns, limit, signal)
	}
}
