package upstreamer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

func call(upstream *upstreamer.Upstream, method, target, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	recorder := httptest.NewRecorder()
	upstream.ServeHTTP(recorder, request)
	return recorder
}

func put(t *testing.T, upstream *upstreamer.Upstream, grant upstreamer.Grant) *httptest.ResponseRecorder {
	body, err := json.Marshal(grant)
	assert.NilError(t, err)
	return call(upstream, http.MethodPut, "/cuminstream/grant", string(body))
}

// Guards against a stand-in that executes a request which its grant does not
// cover: because the grant expired, has another term or other shards, or arrived
// late.
func TestGrantsAreChecked(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	upstream := upstreamer.New(upstreamer.Settings{Slots: 1, ChecksGrants: true}, clock)
	work := func(term, shard string) int {
		return call(upstream, "GET", "/x", "", "Cuminstream-Group", "g", "Cuminstream-Term", term,
			"Cuminstream-Shard", shard, upstreamer.HeaderServiceTime, "0s").Code
	}
	assert.Equal(t, work("1", "7"), http.StatusConflict)
	grant := upstreamer.Grant{Group: "g", Term: 2, Seq: 1, TTL: 800, Timestamp: 1, Shards: []uint32{7}}
	assert.Equal(t, put(t, upstream, grant).Code, http.StatusOK)
	assert.Equal(t, work("2", "7"), http.StatusOK)
	assert.Equal(t, work("2", "8"), http.StatusConflict)
	assert.Equal(t, work("1", "7"), http.StatusConflict)
	old := grant
	old.Term = 1
	assert.Equal(t, put(t, upstream, old).Code, http.StatusConflict)
	clock.Advance(800 * time.Millisecond)
	assert.Equal(t, work("2", "7"), http.StatusConflict)
	assert.Equal(t, put(t, upstream, grant).Header().Get("Cuminstream-Refusal"), "late")
	renewal := upstreamer.Grant{Group: "g", Term: 2, Seq: 1, TTL: 800, Timestamp: 801, Renew: true}
	assert.Equal(t, put(t, upstream, renewal).Code, http.StatusOK)
	assert.Equal(t, work("2", "7"), http.StatusOK)
	assert.Equal(t, upstreamer.CountByRequest(upstream.Records(), upstreamer.Started)[""], 2)
}

// Guards against a frozen stand-in that still responds, or that loses requests
// which arrived while it was frozen.
func TestFrozenUpstreamRespondsAfterThaw(t *testing.T) {
	upstream := upstreamer.New(upstreamer.Settings{Slots: 1}, clocker.System{})
	upstream.UpdateBehavior(func(behavior *upstreamer.Behavior) { behavior.Frozen = true })
	done := make(chan int)
	go func() { done <- call(upstream, "GET", "/x", "").Code }()
	select {
	case <-done:
		t.Fatal("a frozen upstream responded")
	case <-clocker.System{}.NewTimer(10 * time.Millisecond).C():
	}
	assert.Equal(t, call(upstream, http.MethodPut, "/control/behavior", `{"frozen":false}`).Code, http.StatusOK)
	assert.Equal(t, <-done, http.StatusOK)
}
