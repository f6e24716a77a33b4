package flooder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/standin/flooder"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// daemon is a process of cuminstreamd with the stand-ins for the platform and an upstream.
type daemon struct {
	*flooder.Process
}

// startDaemon builds and starts the programs, without the race detector, and waits until
// an ordinary request is served. The process gets its limits from the environment. The
// upstream is a process of its own, or the handler if that is not nil.
func startDaemon(t *testing.T, maxFDs, slots int, handler http.Handler) daemon {
	folder := t.TempDir()
	for _, program := range []string{"cuminstreamd", "cuminstream", "standin-platform", "standin-upstream"} {
		output, err := exec.Command("go", "build", "-o", filepath.Join(folder, program), "github.com/cuminstream/cuminstream/cmd/"+program).CombinedOutput()
		assert.NilError(t, err, "%s", output)
	}
	fleet, err := launcher.NewFleet(folder)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	assert.NilError(t, fleet.StartPlatform(t.Context()))
	vm, err := launcher.NewVM("vm-a-1", "zone-a")
	assert.NilError(t, err)
	upstream := launcher.Upstream{Name: "flood-a-1", Arguments: []string{"--no-checks-grants", "--slots", strconv.Itoa(slots), "--lookup", "20ms"}}
	if handler == nil {
		upstream.Address, err = launcher.FreeAddress()
		assert.NilError(t, err)
		assert.NilError(t, fleet.StartUpstream(t.Context(), upstream))
	} else {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		upstream.Address = server.Listener.Addr().String()
	}
	t.Setenv("CUMINSTREAM_MEMORY_MB", strconv.Itoa(memoryMB))
	t.Setenv("CUMINSTREAM_MAX_FDS", strconv.Itoa(maxFDs))
	register(t, fleet, vm)
	process, err := flooder.StartProcess(t.TempDir(), vm.Caller, filepath.Join(folder, "cuminstreamd"), "--name", vm.Name, "--zone", vm.Zone,
		"--caller-listen", vm.Caller, "--link-listen", vm.Link, "--operator-listen", vm.Operator, "--platform", fleet.Platform, "--shared-key", fleet.SharedKey)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, process.Stop()) })
	section, err := json.Marshal(map[string]any{"team": "flood", "services": []any{map[string]any{
		"name": "flood", "pathPrefix": "/flood", "key": configurer.KeySource{PathSegment: 1}, "checksGrants": false,
		"rank": queuer.Lookup, "idempotent": true, "timeout": routeTimeout.String(),
		"upstreams": []configurer.Upstream{{Name: upstream.Name, Zone: "zone-a", Address: upstream.Address, Slots: slots, Connections: slots + 16}},
	}}})
	assert.NilError(t, err)
	apply := exec.Command(filepath.Join(folder, "cuminstream"), "apply", "flood", "-", "--platform", fleet.Platform)
	apply.Stdin = bytes.NewReader(section)
	output, err := apply.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	started := daemon{process}
	assert.NilError(t, started.ask(t.Context()))
	return started
}

// register adds the VM to the platform's list.
func register(t *testing.T, fleet *launcher.Fleet, vm launcher.VM) {
	body := fmt.Sprintf(`{"name":%q,"zone":%q,"address":%q,"operator":%q}`, vm.Name, vm.Zone, vm.Link, vm.Operator)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, fleet.Platform+"/control/vms", bytes.NewBufferString(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, response.StatusCode < http.StatusBadRequest, response.Status)
}

// ask sends an ordinary request, and repeats it until it is served.
func (daemon daemon) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, afterwards)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	last := error(nil)
	for ctx.Err() == nil && daemon.Alive() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.Address+flooder.Path, nil)
		if err != nil {
			return err
		}
		request.Host = flooder.Host
		response, err := client.Do(request)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK && len(body) > 0 {
				return nil
			}
			err = fmt.Errorf("status %d: %s", response.StatusCode, body)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no ordinary request was served: %w", last)
}

// floodDaemon plays a crowd and checks that the process stays alive and inside its limits,
// and that an ordinary request is served afterwards.
func floodDaemon(t *testing.T, maxFDs int, crowd flooder.Crowd) {
	t.Helper()
	floodStarted(t, startDaemon(t, maxFDs, 4, nil), maxFDs, crowd)
}

// floodStarted is floodDaemon for a process that has been started.
func floodStarted(t *testing.T, daemon daemon, maxFDs int, crowd flooder.Crowd) {
	t.Helper()
	crowd.Address = daemon.Address
	assert.NilError(t, crowd.Run(t.Context(), crowdTime))
	peak := daemon.Peak()
	t.Logf("peak: %v", peak)
	assert.Check(t, daemon.Alive(), "the process has ended")
	assert.Check(t, peak.ResidentBytes+peak.QueuedBytes <= memoryMB<<20, "the machine has %d MB: %v", memoryMB, peak)
	assert.Check(t, peak.Descriptors <= maxFDs && peak.Sockets <= maxFDs-fileFDs, "the machine has %d descriptors, %d of them for files: %v", maxFDs, fileFDs, peak)
	assert.Check(t, daemon.ask(t.Context()))
}
