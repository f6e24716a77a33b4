package commander_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cuminstream/cuminstream/internal/commander"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/standin/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Guards against unintended changes to the command line interface. Each folder
// in testdata/cases holds a file cmd, whose lines run in sequence against one
// platform, and a file expected with the output, errors and exit codes. Run with
// -update to regenerate the expected files.
func TestCases(t *testing.T) {
	cases, err := filepath.Glob("testdata/cases/*/cmd")
	assert.NilError(t, err)
	assert.Assert(t, len(cases) > 0)
	for _, file := range cases {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	platform := platformer.New(clocker.System{}, platformer.Settings{})
	objects := httptest.NewServer(platform)
	defer objects.Close()
	vm := httptest.NewServer(fakeVM())
	defer vm.Close()
	t.Setenv("CUMINSTREAM_PLATFORM", objects.URL)
	t.Setenv("CUMINSTREAM_OPERATOR", strings.TrimPrefix(vm.URL, "http://"))
	commands, err := os.ReadFile(filepath.Join(folder, "cmd"))
	assert.NilError(t, err)
	var transcript bytes.Buffer
	for _, command := range strings.Split(strings.TrimSpace(string(commands)), "\n") {
		arguments := strings.Fields(command)
		for index, argument := range arguments {
			if strings.HasSuffix(argument, ".json") || strings.HasSuffix(argument, ".log") {
				arguments[index] = filepath.Join(folder, argument)
			}
		}
		var output, errors bytes.Buffer
		code := commander.Run(t.Context(), arguments, strings.NewReader(""), &output, &errors)
		fmt.Fprintf(&transcript, "$ cuminstream %s\n%s", command, output.String())
		if errors.Len() > 0 {
			fmt.Fprintf(&transcript, "[errors]\n%s", strings.ReplaceAll(errors.String(), folder+"/", ""))
		}
		fmt.Fprintf(&transcript, "[exit code %d]\n", code)
	}
	golden.Assert(t, transcript.String(), filepath.Join("cases", filepath.Base(folder), "expected"))
}

// fakeVM returns a handler with fixed responses for the operators' listener of a
// VM.
func fakeVM() http.Handler {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	routes := http.NewServeMux()
	respond := func(value any) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(value) }
	}
	group := operator.Group{ID: "quotes.zone-a.0", Holder: "vm-1", Term: 4, Candidates: []string{"vm-1", "vm-2"}, Shards: 256, Upstreams: []operator.Upstream{
		{Name: "q1", State: "up", Shards: 200, Slots: 2, Busy: 1, Queued: map[string]int{"lookup": 3}, HotKeys: []string{"accra"}},
		{Name: "q2", State: "drained", Slots: 2},
	}}
	routes.HandleFunc("/status", respond(operator.Fleet{
		VMs: []operator.Status{
			{VM: "vm-2", Zone: "zone-a", Time: at, Revision: 7, Platform: "unreachable", Stopping: true},
			{VM: "vm-1", Zone: "zone-a", Time: at, Revision: 7, Platform: "reachable", Groups: []operator.Group{group}, Refusals: map[string]float64{"notRunOverloaded": 12}},
		},
		Unreachable: []string{"vm-3"},
	}))
	routes.HandleFunc("/owner", func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("key") == "nowhere" {
			http.Error(writer, "no owner is known", http.StatusNotFound)
			return
		}
		respond([]operator.Owner{{Service: "quotes", Key: "accra", Shard: 9, Group: group.ID, Holder: "vm-1", Term: 4, Upstream: "q1", Hot: true}})(writer, request)
	})
	routes.HandleFunc("/timeline", respond(operator.Timeline{Events: []timeliner.Event{
		{Time: at, VM: "vm-1", Kind: "leaseAcquired", Group: group.ID, Term: 4},
		{Time: at.Add(time.Second), VM: "vm-1", Kind: "upstreamDrained", Group: group.ID, Upstream: "q2", Term: 4, Detail: "document"},
	}, Unreachable: []string{"vm-3"}}))
	return routes
}
