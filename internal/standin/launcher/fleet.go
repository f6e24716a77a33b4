package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var clock = clocker.System{}

// Fleet is a set of processes on the loopback interface: one platform, entry VMs
// and upstreams.
type Fleet struct {
	BinDir    string // directory of the compiled programs
	Directory string // of the logs, one file per process; Close removes it
	SharedKey string
	Platform  string // base URL of the platform, set by StartPlatform

	mutex     sync.Mutex
	processes map[string]*Process
	waits     errgroup.Group
}

// VM describes an entry VM process.
type VM struct {
	Name, Zone             string
	Caller, Link, Operator string   // listen addresses, host:port
	Arguments              []string // appended to those that StartVM passes
}

// Upstream describes an upstream process.
type Upstream struct {
	Name, Address string   // Address is host:port
	Arguments     []string // appended to those that StartUpstream passes
}

// NewFleet returns a fleet without processes. Its logs go to a new temporary
// directory.
func NewFleet(binDir string) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "cuminstream-fleet-")
	if err != nil {
		return nil, fmt.Errorf("create log directory: %w", err)
	}
	return &Fleet{BinDir: binDir, Directory: directory, SharedKey: "loopback-only-shared-key", processes: map[string]*Process{}}, nil
}

// allocated holds the addresses that FreeAddress has returned. Until a process
// has bound its port, the kernel may offer the same port again.
var allocated struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// FreeAddress returns a loopback address whose port is currently unused and which
// was not returned before.
func FreeAddress() (string, error) {
	allocated.mutex.Lock()
	defer allocated.mutex.Unlock()
	if allocated.addresses == nil {
		allocated.addresses = map[string]bool{}
	}
	for {
		address, err := probeFreePort()
		if err != nil {
			return "", err
		}
		if !allocated.addresses[address] {
			allocated.addresses[address] = true
			return address, nil
		}
	}
}

// probeFreePort returns a loopback address with a port that the kernel chose. It
// releases the port again.
func probeFreePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start runs a program of BinDir as the process with the name.
func (fleet *Fleet) start(name, program string, arguments ...string) (*Process, error) {
	process, err := startProcess(fleet.Directory, name, filepath.Join(fleet.BinDir, program), arguments...)
	if err != nil {
		return nil, err
	}
	fleet.mutex.Lock()
	fleet.processes[name] = process
	fleet.mutex.Unlock()
	fleet.waits.Go(process.wait)
	return process, nil
}

// StartPlatform starts the stand-in for the platform and waits until it responds.
func (fleet *Fleet) StartPlatform(ctx context.Context, arguments ...string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	fleet.Platform = "http://" + address
	if _, err := fleet.start("platform", "standin-platform", append([]string{"--listen", address}, arguments...)...); err != nil {
		return err
	}
	return WaitForStatus(ctx, fleet.Platform+"/vms", http.StatusOK)
}

// StartUpstream starts a stand-in for an upstream and waits until it responds.
func (fleet *Fleet) StartUpstream(ctx context.Context, upstream Upstream) error {
	arguments := append([]string{"--name", upstream.Name, "--listen", upstream.Address}, upstream.Arguments...)
	if _, err := fleet.start(upstream.Name, "standin-upstream", arguments...); err != nil {
		return err
	}
	return WaitForStatus(ctx, "http://"+upstream.Address+"/control/record", http.StatusOK)
}

// StartVM registers an entry VM in the platform's list of VMs and starts it. It
// does not wait until the VM is ready.
func (fleet *Fleet) StartVM(ctx context.Context, vm VM) error {
	if err := fleet.register(ctx, vm); err != nil {
		return err
	}
	arguments := append([]string{
		"--name", vm.Name, "--zone", vm.Zone, "--caller-listen", vm.Caller, "--link-listen", vm.Link,
		"--operator-listen", vm.Operator, "--platform", fleet.Platform, "--shared-key", fleet.SharedKey,
		"--stop-notice", "200ms",
	}, vm.Arguments...)
	_, err := fleet.start(vm.Name, "cuminstreamd", arguments...)
	return err
}

// NewVM returns a description of a VM with unused loopback addresses. It starts
// no process.
func NewVM(name, zone string, arguments ...string) (VM, error) {
	vm := VM{Name: name, Zone: zone, Arguments: arguments}
	for _, field := range []*string{&vm.Caller, &vm.Link, &vm.Operator} {
		address, err := FreeAddress()
		if err != nil {
			return VM{}, err
		}
		*field = address
	}
	return vm, nil
}

// register adds the VM to the platform's list of VMs.
func (fleet *Fleet) register(ctx context.Context, vm VM) error {
	body := fmt.Sprintf(`{"name":%q,"zone":%q,"address":%q,"operator":%q}`, vm.Name, vm.Zone, vm.Link, vm.Operator)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fleet.Platform+"/control/vms", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("register VM %s: %w", vm.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("register VM %s: %w", vm.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("register VM %s: status %s", vm.Name, response.Status)
	}
	return nil
}

// Process returns the process that was last started with the name, or nil.
func (fleet *Fleet) Process(name string) *Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.processes[name]
}

// Close kills the processes that still run, waits until all have exited and
// removes the logs.
func (fleet *Fleet) Close() {
	fleet.mutex.Lock()
	for _, process := range fleet.processes {
		if !process.Exited() {
			_ = process.Signal(os.Kill)
		}
	}
	fleet.mutex.Unlock()
	_ = fleet.waits.Wait()
	_ = os.RemoveAll(fleet.Directory)
}

// pollInterval is the time between two requests of WaitForStatus.
const pollInterval = 10 * time.Millisecond

// WaitForStatus polls the URL until it responds with the status or ctx is done.
func WaitForStatus(ctx context.Context, url string, status int) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("wait for %s: %w", url, err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == status {
				return nil
			}
		}
		if err := clocker.Sleep(ctx, clock, pollInterval); err != nil {
			return fmt.Errorf("wait for %s: %w", url, err)
		}
	}
}
