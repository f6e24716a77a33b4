package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// deployment is one user's size of today, with one service that carries all
// three ranks.
type deployment struct {
	zones, vms, upstreams, slots, connections int
}

var deployments = map[string]deployment{
	"akwaaba":  {zones: 4, vms: 10, upstreams: 15, slots: 2, connections: 110},
	"lochside": {zones: 4, vms: 9, upstreams: 15, slots: 3, connections: 50},
}

// system is a running deployment.
type system struct {
	fleet     *launcher.Fleet
	vms       []launcher.VM
	upstreams []launcher.Upstream
	declared  []configurer.Upstream
	slots     int
}

func (deployment deployment) start(ctx context.Context, programs string, checksGrants bool) (*system, error) {
	fleet, err := launcher.NewFleet(programs)
	if err != nil {
		return nil, err
	}
	system := &system{fleet: fleet, slots: deployment.slots}
	if err := system.startAll(ctx, deployment, checksGrants); err != nil {
		fleet.Close()
		return nil, err
	}
	return system, nil
}

func (system *system) startAll(ctx context.Context, deployment deployment, checksGrants bool) error {
	if err := system.fleet.StartPlatform(ctx, "--vm-lag", "1s"); err != nil {
		return err
	}
	for number := range deployment.upstreams {
		if err := system.startUpstream(ctx, deployment, number, checksGrants); err != nil {
			return err
		}
	}
	for number := range deployment.vms {
		vm, err := launcher.NewVM(fmt.Sprintf("vm-%d", number), fmt.Sprintf("zone-%d", number%deployment.zones))
		if err != nil {
			return err
		}
		if err := system.fleet.StartVM(ctx, vm); err != nil {
			return err
		}
		system.vms = append(system.vms, vm)
	}
	return nil
}

func (system *system) startUpstream(ctx context.Context, deployment deployment, number int, checksGrants bool) error {
	address, err := launcher.FreeAddress()
	if err != nil {
		return err
	}
	arguments := []string{
		"--slots", strconv.Itoa(deployment.slots), "--connections", strconv.Itoa(deployment.connections + 100),
		"--lookup", works[queuer.Lookup].service.String(),
		"--transaction", works[queuer.Transaction].service.String(),
		"--upload", works[queuer.Upload].service.String(),
	}
	if !checksGrants {
		arguments = append(arguments, "--no-checks-grants")
	}
	upstream := launcher.Upstream{Name: fmt.Sprintf("up-%02d", number), Address: address, Arguments: arguments}
	system.upstreams = append(system.upstreams, upstream)
	system.declared = append(system.declared, configurer.Upstream{
		Name: upstream.Name, Zone: fmt.Sprintf("zone-%d", number%deployment.zones), Address: address,
		Slots: deployment.slots, Connections: deployment.connections,
	})
	return system.fleet.StartUpstream(ctx, upstream)
}

// applySection applies a section with the operators' program.
func (system *system) applySection(ctx context.Context, name string, section map[string]any) error {
	body, err := json.Marshal(section)
	if err != nil {
		return fmt.Errorf("section %s: %w", name, err)
	}
	command := exec.CommandContext(ctx, filepath.Join(system.fleet.BinDir, "cuminstream"), "apply", name, "-", "--platform", system.fleet.Platform)
	command.Stdin = bytes.NewReader(body)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("apply section %s: %w: %s", name, err, output)
	}
	return nil
}

// waitUntilServed sends lookups until a long run of them succeeds.
func (system *system) waitUntilServed(ctx context.Context) error {
	balancer := system.balancer()
	const enough = 200
	for served, tried := 0, 0; served < enough; tried++ {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		result := balancer.send(attempt, arrival{key: fmt.Sprintf("key-%d", tried), id: "warm"})
		cancel()
		served++
		if result != "" {
			served = 0
			if err := clocker.Sleep(ctx, clock, 50*time.Millisecond); err != nil {
				return fmt.Errorf("the groups were not served: last result %q", result)
			}
		}
	}
	return nil
}

func (system *system) balancer() *balancer {
	balancer := &balancer{client: newClient()}
	for _, vm := range system.vms {
		balancer.addresses = append(balancer.addresses, vm.Caller)
	}
	return balancer
}

// record is the part of the upstreams' record that is measured.
type record struct {
	Kind    string    `json:"kind"`
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Key     string    `json:"key"`
}

// records returns the record of every upstream that answers.
func (system *system) records(ctx context.Context) map[string][]record {
	all := map[string][]record{}
	for _, upstream := range system.upstreams {
		var list []record
		if fetch(ctx, "http://"+upstream.Address+"/control/record", &list) == nil {
			all[upstream.Name] = list
		}
	}
	return all
}

// fetch reads a JSON answer.
func fetch(ctx context.Context, url string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("fetch %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fetch %s: %w", url, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("fetch %s: %w", url, err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("fetch %s: %w", url, err)
	}
	return nil
}
