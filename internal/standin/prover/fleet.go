package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

var clock = clocker.System{}

const (
	vmsPerZone       = 2
	upstreamsPerZone = 2
	slots            = 4
	connections      = 110
	candidates       = 3 // of a group; the third one is in the other zone
	pollInterval     = 20 * time.Millisecond
)

var (
	zones = []string{"zone-a", "zone-b"}
	// services maps each service to whether its upstreams check grants.
	services = map[string]bool{"checked": true, "unchecked": false}

	errNoHolder = errors.New("the group has no holder")
	errStatus   = errors.New("unexpected status")
)

// upstream is an upstream process with what the checker must know of it.
type upstream struct {
	launcher.Upstream
	service, zone string
	recordFile    string
}

// fleet is the running system.
type fleet struct {
	*launcher.Fleet
	vms       []launcher.VM
	upstreams []upstream
	history   *history

	mutex sync.Mutex
	ended map[string]bool // processes that the test ended
}

// startFleet starts two zones with two VMs each and two services, applies their
// sections and waits until every VM serves every group.
func startFleet(ctx context.Context, programs string) (*fleet, error) {
	launched, err := launcher.NewFleet(programs)
	if err != nil {
		return nil, err
	}
	fleet := &fleet{Fleet: launched, history: newHistory(), ended: map[string]bool{}}
	if err := fleet.startAll(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func (fleet *fleet) startAll(ctx context.Context) error {
	if err := fleet.StartPlatform(ctx, "--vm-lag", "1s"); err != nil {
		return err
	}
	for _, zone := range zones {
		for number := range vmsPerZone {
			vm, err := launcher.NewVM(fmt.Sprintf("vm-%s-%d", zone[len(zone)-1:], number+1), zone)
			if err != nil {
				return err
			}
			fleet.vms = append(fleet.vms, vm)
			if err := fleet.StartVM(ctx, vm); err != nil {
				return err
			}
		}
	}
	for service := range services {
		if err := fleet.startService(ctx, service); err != nil {
			return err
		}
	}
	return fleet.waitUntilWhole(ctx)
}

func (fleet *fleet) startService(ctx context.Context, service string) error {
	var declared []configurer.Upstream
	for _, zone := range zones {
		for number := range upstreamsPerZone {
			address, err := launcher.FreeAddress()
			if err != nil {
				return err
			}
			started := upstream{service: service, zone: zone}
			started.Name, started.Address = fmt.Sprintf("%s-%s-%d", service, zone[len(zone)-1:], number+1), address
			started.recordFile = filepath.Join(fleet.Directory, started.Name+".records")
			started.Arguments = []string{"--lookup", "2ms", "--transaction", "10ms", "--slots", strconv.Itoa(slots), "--record-file", started.recordFile}
			if !services[service] {
				started.Arguments = append(started.Arguments, "--no-checks-grants")
			}
			fleet.upstreams = append(fleet.upstreams, started)
			declared = append(declared, configurer.Upstream{
				Name: started.Name, Zone: zone, Address: address, Slots: slots, Connections: connections,
			})
			if err := fleet.StartUpstream(ctx, started.Upstream); err != nil {
				return err
			}
		}
	}
	body, err := section(service, declared)
	if err != nil {
		return err
	}
	_, err = fleet.command(ctx, body, "apply", service, "-")
	return err
}

func section(service string, declared []configurer.Upstream) ([]byte, error) {
	return json.Marshal(map[string]any{
		"team": service,
		"services": []any{map[string]any{
			"name": service, "pathPrefix": "/" + service, "key": configurer.KeySource{PathSegment: 2},
			"upstreams": declared, "checksGrants": services[service], "rank": queuer.Lookup, "idempotent": true, "timeout": "3s",
			"routes": []any{
				map[string]any{"methods": []string{http.MethodPost}, "rank": queuer.Transaction, "idempotent": false, "timeout": "3s"},
				map[string]any{"methods": []string{http.MethodPut}, "rank": queuer.Upload, "idempotent": true, "timeout": "60s"},
			},
		}},
	})
}

// command runs the operators' program against the platform.
func (fleet *fleet) command(ctx context.Context, input []byte, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(fleet.BinDir, "cuminstream"), append(arguments, "--platform", fleet.Platform)...)
	command.Stdin = bytes.NewReader(input)
	output, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("cuminstream %s: %w: %s", strings.Join(arguments, " "), err, output)
	}
	return string(output), nil
}

// promisePause is how long a restarted VM gives no promise: one lease and the
// margin.
const promisePause = 850 * time.Millisecond

// waitUntilWhole waits until every VM is ready, every group has a holder, and
// all of its candidates run and have its state, so that the next loss is one
// that the design tolerates.
func (fleet *fleet) waitUntilWhole(ctx context.Context) error {
	reason := ""
	err := poll(ctx, "groups are not whole", func() bool {
		reason = fleet.notWhole(ctx)
		return reason == ""
	})
	if err != nil {
		return fmt.Errorf("%s: %w", reason, err)
	}
	return clocker.Sleep(ctx, clock, promisePause)
}

// notWhole returns why a group could not bear the loss of a candidate.
func (fleet *fleet) notWhole(ctx context.Context) string {
	holders, synchronized, lists := map[string]string{}, map[string]int{}, map[string][]string{}
	for _, vm := range fleet.running() {
		if _, err := fleet.get(ctx, "http://"+vm.Operator+"/readyz"); err != nil {
			return vm.Name + " is not ready"
		}
		status, err := fleet.status(ctx, vm)
		if err != nil {
			return err.Error()
		}
		for _, group := range status.Groups {
			if group.Synchronized && slices.Contains(group.Candidates, vm.Name) {
				synchronized[group.ID]++
			}
			if group.Holder == vm.Name {
				holders[group.ID], lists[group.ID] = vm.Name, group.Candidates
			}
		}
	}
	for service := range services {
		for _, zone := range zones {
			id := service + "." + zone + ".0"
			if holders[id] == "" || len(lists[id]) != candidates || synchronized[id] != candidates {
				return fmt.Sprintf("group %s has holder %q, candidates %v, %d of them synchronized", id, holders[id], lists[id], synchronized[id])
			}
		}
	}
	return ""
}

// running returns the VMs whose processes run.
func (fleet *fleet) running() []launcher.VM {
	return slices.DeleteFunc(slices.Clone(fleet.vms), func(vm launcher.VM) bool {
		process := fleet.Process(vm.Name)
		return process == nil || process.Exited()
	})
}

// poll waits until the condition holds or ctx is done.
func poll(ctx context.Context, failure string, condition func() bool) error {
	for !condition() {
		if err := clocker.Sleep(ctx, clock, pollInterval); err != nil {
			return fmt.Errorf("%s: %w", failure, err)
		}
	}
	return nil
}

// requestTimeout bounds a call to a VM's operators' listener, which does not
// answer while the VM is frozen.
const requestTimeout = 2 * time.Second

func (fleet *fleet) get(ctx context.Context, url string) ([]byte, error) {
	return call(ctx, http.MethodGet, url, "")
}

func call(ctx context.Context, method, url, body string) ([]byte, error) {
	ctx, cancel := clocker.WithTimeout(ctx, clock, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("call %s: %w %s: %s", url, errStatus, response.Status, content)
	}
	return content, nil
}

func (fleet *fleet) status(ctx context.Context, vm launcher.VM) (operator.Status, error) {
	var status operator.Status
	content, err := fleet.get(ctx, "http://"+vm.Operator+"/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(content, &status); err != nil {
		return status, fmt.Errorf("status of %s: %w", vm.Name, err)
	}
	return status, nil
}

// holder returns the VM that holds the group, and the group as it reports it.
func (fleet *fleet) holder(ctx context.Context, id string) (launcher.VM, operator.Group, error) {
	for _, vm := range fleet.running() {
		status, err := fleet.status(ctx, vm)
		if err != nil {
			continue
		}
		for _, group := range status.Groups {
			if group.ID == id && group.Holder == vm.Name {
				return vm, group, nil
			}
		}
	}
	return launcher.VM{}, operator.Group{}, fmt.Errorf("group %s: %w", id, errNoHolder)
}

// waitForUpstream waits until the holder of the group reports an upstream that
// satisfies the condition.
func (fleet *fleet) waitForUpstream(ctx context.Context, id, name string, condition func(operator.Upstream) bool) error {
	last := operator.Upstream{}
	err := poll(ctx, "upstream "+name, func() bool {
		_, group, err := fleet.holder(ctx, id)
		if err != nil {
			return false
		}
		index := slices.IndexFunc(group.Upstreams, func(upstream operator.Upstream) bool { return upstream.Name == name })
		if index < 0 {
			return false
		}
		last = group.Upstreams[index]
		return condition(last)
	})
	if err != nil {
		return fmt.Errorf("last state %+v: %w", last, err)
	}
	return nil
}

// outage begins an outage of the platform's stand-in, or ends it with mode "".
func (fleet *fleet) outage(ctx context.Context, mode string) error {
	_, err := call(ctx, http.MethodPut, fleet.Platform+"/control/outage", fmt.Sprintf(`{"mode":%q}`, mode))
	return err
}

// kill ends a process at once and notes that the test did so.
func (fleet *fleet) kill(name string) error {
	fleet.expectEnd(name, true)
	err := fleet.Process(name).Kill()
	fleet.history.interrupt(name, clock.Now(), killed)
	return err
}

// freeze stops a process without ending it.
func (fleet *fleet) freeze(name string) error {
	fleet.history.interrupt(name, clock.Now(), frozen)
	return fleet.Process(name).Freeze()
}

// thaw lets a frozen process run again.
func (fleet *fleet) thaw(name string) error {
	fleet.history.interrupt(name, clock.Now(), thawed)
	return fleet.Process(name).Thaw()
}

func (fleet *fleet) expectEnd(name string, expected bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.ended[name] = expected
}

// restartVM starts a VM that the test ended.
func (fleet *fleet) restartVM(ctx context.Context, vm launcher.VM) error {
	fleet.expectEnd(vm.Name, false)
	return fleet.StartVM(ctx, vm)
}

// restartUpstream starts an upstream that ended.
func (fleet *fleet) restartUpstream(ctx context.Context, name string) error {
	fleet.expectEnd(name, false)
	index := slices.IndexFunc(fleet.upstreams, func(upstream upstream) bool { return upstream.Name == name })
	return fleet.StartUpstream(ctx, fleet.upstreams[index].Upstream)
}

// unexpectedEnds returns the processes that ended although the test did not end
// them.
func (fleet *fleet) unexpectedEnds() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var faults []string
	check := func(name string) {
		if process := fleet.Process(name); process != nil && process.Exited() && !fleet.ended[name] {
			faults = append(faults, fmt.Sprintf("process %s ended by itself", name))
		}
	}
	for _, vm := range fleet.vms {
		check(vm.Name)
	}
	for _, upstream := range fleet.upstreams {
		check(upstream.Name)
	}
	return faults
}

// brokenInvariants returns the invariants whose failures the running VMs
// counted.
func (fleet *fleet) brokenInvariants(ctx context.Context) []string {
	var faults []string
	for _, vm := range fleet.running() {
		content, err := fleet.get(ctx, "http://"+vm.Operator+"/metrics")
		if err != nil {
			faults = append(faults, fmt.Sprintf("metrics of %s: %v", vm.Name, err))
			continue
		}
		for line := range strings.Lines(string(content)) {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "cuminstream_invariant_failures_total") && !strings.HasSuffix(line, " 0") {
				faults = append(faults, vm.Name+": "+line)
			}
		}
	}
	return faults
}
