package prover

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// Guards against broken responses that callers of cuminstreamd take for answers: requests that
// were answered with one may have run, and nothing else is known of them.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	names := append(breaker.SampleNames(), breaker.ResetName)
	upstream := &breaker.Upstream{Names: names}
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
		if name == breaker.ResetName {
			body = make([]byte, 32<<20)
		}
		for before := upstream.Ran(); upstream.Ran() == before; {
			assert.NilError(t, ctx.Err(), "%s has not reached the upstream", name)
			result, err := postBroken(ctx, vm, number, body)
			if upstream.Ran() == before {
				time.Sleep(100 * time.Millisecond) // refused, for example because the VM does not know the service yet
				continue
			}
			assert.Check(t, err != nil || result == string(answerer.OutcomeUnknown), "%s: result %q", name, result)
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
