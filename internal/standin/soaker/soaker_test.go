package soaker_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/soaker"
)

// binary is the program that "make build" puts into place before the tests.
const binary = "../../../bin/cuminstream-edge"

// A short soak with a fixed seed: processes that are killed, stopped, paused and
// reloaded, a store and upstreams behind proxies that delay, silence and reset.
func TestShortSoak(t *testing.T) {
	path, err := filepath.Abs(binary)
	assert.NilError(t, err)
	_, err = os.Stat(path)
	assert.NilError(t, err, "run make build first")
	report, err := soaker.Run(t.Context(), soaker.Options{
		Seed: 1, Faults: 8 * time.Second, Binary: path, Folder: t.TempDir(), VMs: 3, Upstreams: 3, Callers: 6,
	})
	assert.NilError(t, err)
	report.Print(1)
	assert.Equal(t, len(report.Failures), 0)
	assert.Assert(t, report.Answers[200] > 200, "%v", report.Answers)
}

// Planned work must not cut a request that an upstream runs: VMs stop one after the other and
// two at once, configurations and upstreams change, and callers pipeline requests or send
// uploads on connections that they keep. On an operator's machines with the traffic of
// lochside-gw, pipelined requests were cut around SIGTERM in most runs.
func TestPlannedWorkCutsNoRequest(t *testing.T) {
	path, err := filepath.Abs(binary)
	assert.NilError(t, err)
	report, err := soaker.Run(t.Context(), soaker.Options{
		Seed: 3, Faults: 15 * time.Second, Binary: path, Folder: t.TempDir(), VMs: 3, Upstreams: 6, Callers: 8, Planned: true,
	})
	assert.NilError(t, err)
	report.Print(3)
	assert.Equal(t, len(report.Failures), 0)
	assert.Assert(t, report.Answers[200] > 1000, "%v", report.Answers)
}

// A soak that was broken off went on sleeping, and left paused processes behind.
func TestBrokenOffSoakEndsAtOnce(t *testing.T) {
	path, err := filepath.Abs(binary)
	assert.NilError(t, err)
	ctx, stop := context.WithTimeout(t.Context(), 7*time.Second)
	defer stop()
	folder := t.TempDir()
	began := time.Now()
	_, err = soaker.Run(ctx, soaker.Options{Seed: 3, Faults: time.Minute, Binary: path, Folder: folder, VMs: 2, Upstreams: 2, Callers: 2})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < 20*time.Second, "it ended after %v", time.Since(began))
	processes, err := filepath.Glob("/proc/[0-9]*/cmdline")
	assert.NilError(t, err)
	for _, process := range processes {
		line, err := os.ReadFile(process)
		assert.Assert(t, err != nil || !strings.Contains(string(line), folder), "%s still runs: %q", process, line)
	}
}
