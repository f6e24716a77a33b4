package prover

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// resetName is the name of a response that the upstream resets while it gets an upload.
const resetName = "reset"

// brokenUpstream answers a request for /broken/N with the broken response number N, the name
// of which is given.
type brokenUpstream struct {
	names []string
	ran   atomic.Int32
}

func (upstream *brokenUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	number, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/broken/"))
	if err != nil {
		return // a probe
	}
	upstream.ran.Add(1)
	if upstream.names[number] == resetName {
		if conn, upload, err := http.NewResponseController(writer).Hijack(); err == nil {
			breaker.ResetDuringUpload(conn, upload, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart")
		}
		return
	}
	responses := breaker.InvalidFields("")
	maps.Copy(responses, breaker.InvalidStatuses(""))
	responses[upstream.names[number]].ServeHTTP(writer, request)
}

// Guards against broken responses that callers of cuminstreamd take for answers: requests that
// were answered with one may have run, and nothing else is known of them.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	names := []string{`"000"`, `"600" without a body`, resetName}
	for _, line := range []string{"Content-Length : 4", "Keep Alive: timeout=5", "X\x01: value"} {
		for _, place := range []string{"", ", no other length", " in an interim response", " in the trailer"} {
			names = append(names, fmt.Sprintf("%q%s", line, place))
		}
	}
	upstream := &brokenUpstream{names: names}
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	fleet, err := launcher.NewFleet(programs)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	assert.NilError(t, fleet.StartPlatform(t.Context()))
	vm, err := launcher.NewVM("vm-a-1", "zone-a")
	assert.NilError(t, err)
	assert.NilError(t, fleet.StartVM(t.Context(), vm))
	applyService(t, fleet, vm, map[string]any{
		"name": "broken", "pathPrefix": "/broken", "key": configurer.KeySource{PathSegment: 1}, "checksGrants": false, "rank": queuer.Lookup, "timeout": "4s", "maxBody": 64 << 20,
		"upstreams": []configurer.Upstream{{Name: "broken-a-1", Zone: "zone-a", Address: server.Listener.Addr().String(), Slots: 4, Connections: 20}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	for number, name := range names {
		body := []byte("ab")
		if name == resetName {
			body = make([]byte, 32<<20)
		}
		for before := upstream.ran.Load(); upstream.ran.Load() == before; {
			assert.NilError(t, ctx.Err(), "%s has not reached the upstream", name)
			response, err := postBroken(ctx, vm, number, body)
			if upstream.ran.Load() == before {
				time.Sleep(100 * time.Millisecond) // refused, for example because the VM does not know the service yet
				continue
			}
			assert.Check(t, err != nil || response == string(answerer.OutcomeUnknown), "%s: result %q", name, response)
		}
	}
}

// postBroken sends a request for a broken response, and returns the result that the VM states. It
// fails if the response is not complete.
func postBroken(ctx context.Context, vm launcher.VM, number int, body []byte) (result string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/broken/%d", vm.Caller, number), bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Cuminstream-Request-Id", uuid.NewString())
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Header.Get(answerer.HeaderResult), err
}
