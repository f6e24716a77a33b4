package platformer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/platformer"
	standin "github.com/cuminstream/cuminstream/internal/standin/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

type fixture struct {
	*standin.Platform
	clock  *clocker.Fake
	client *platformer.Client
	url    string
}

// newFixture starts a stand-in on a fake clock and a client whose base URL ends in
// path. The cleanup refuses all calls before it closes the server, which would
// otherwise wait for calls that are still held.
func newFixture(t *testing.T, path string, settings standin.Settings) fixture {
	t.Helper()
	clock := clocker.NewFake(time.Unix(1000, 0))
	platform := standin.New(clock, settings)
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	t.Cleanup(func() { platform.SetOutage(standin.Outage{Mode: standin.Refuse}) })
	client, err := platformer.NewClient(server.URL+path, clocker.System{}, nil)
	assert.NilError(t, err)
	return fixture{platform, clock, client, server.URL}
}

// Guards against two writes that both succeed against the same version.
func TestConditionalUpdate(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{}), t.Context()
	_, err := fixture.client.Get(ctx, "groups/a.z1.0")
	assert.Assert(t, errors.Is(err, platformer.ErrNotFound))
	first, err := fixture.client.Put(ctx, "groups/a.z1.0", []byte("one"), "")
	assert.NilError(t, err)
	_, err = fixture.client.Put(ctx, "groups/a.z1.0", []byte("again"), "")
	assert.Assert(t, errors.Is(err, platformer.ErrConflict))
	second, err := fixture.client.Put(ctx, "groups/a.z1.0", []byte("two"), first)
	assert.NilError(t, err)
	_, err = fixture.client.Put(ctx, "groups/a.z1.0", []byte("late"), first)
	assert.Assert(t, errors.Is(err, platformer.ErrConflict))
	_, err = fixture.client.Put(ctx, "groups/none", []byte("x"), first)
	assert.Assert(t, errors.Is(err, platformer.ErrConflict))
	got, err := fixture.client.Get(ctx, "groups/a.z1.0")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, platformer.Object{Name: "groups/a.z1.0", Version: second, Value: []byte("two")})
	assert.Equal(t, fixture.Counters().Conflicts, uint64(3))
}

// Guards against a client that reports a lost response as a definite failure, and
// against a stand-in that discards the write together with the response.
func TestLostAnswerAfterWrite(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{}), t.Context()
	_, err := fixture.client.Get(ctx, "a")
	assert.Assert(t, errors.Is(err, platformer.ErrNotFound))
	fixture.LoseNextResponses(1)
	_, err = fixture.client.Put(ctx, "a", []byte("value"), "")
	assert.Assert(t, err != nil)
	for _, definite := range []error{platformer.ErrConflict, platformer.ErrNotFound, platformer.ErrTooLarge, platformer.ErrRateLimited} {
		assert.Assert(t, !errors.Is(err, definite))
	}
	got, err := fixture.client.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "value")
	assert.Equal(t, fixture.Counters().Calls[standin.Put], uint64(1))
}

// Guards against outages that affect the wrong zone, calls that run beyond the
// deadline of their context or the timeout of the client, and outages that do not end.
func TestOutageModes(t *testing.T) {
	fixture, ctx := newFixture(t, "/from/z1", standin.Settings{}), t.Context()
	fixture.SetOutage(standin.Outage{Mode: standin.Refuse, Zones: []string{"z2"}})
	_, err := fixture.client.Put(ctx, "a", []byte("value"), "")
	assert.NilError(t, err)
	fixture.SetOutage(standin.Outage{Mode: standin.Refuse, Zones: []string{"z1"}})
	_, err = fixture.client.Get(ctx, "a")
	assert.Assert(t, err != nil && !errors.Is(err, platformer.ErrNotFound))
	fixture.SetOutage(standin.Outage{Mode: standin.Hang})
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = fixture.client.Get(shortCtx, "a")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	fixture.client.Timeout = 20 * time.Millisecond
	_, err = fixture.client.VMs(ctx)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	fixture.SetOutage(standin.Outage{})
	fixture.client.Timeout = 10 * time.Second
	_, err = fixture.client.Get(ctx, "a")
	assert.NilError(t, err)
}

// Guards against a watch that misses a change, reports it twice or does not
// detect that the sequence was restarted.
func TestWatch(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{}), t.Context()
	_, sequence, err := fixture.client.List(ctx, "groups/")
	assert.NilError(t, err)
	done := make(chan error, 1)
	var changed []platformer.Object
	var next uint64
	go func() {
		var err error
		changed, next, err = fixture.client.Watch(ctx, "groups/", sequence, time.Minute)
		done <- err
	}()
	for fixture.clock.TimerCount() == 0 {
		assert.NilError(t, clocker.Sleep(ctx, clocker.System{}, time.Millisecond))
	}
	_, err = fixture.client.Put(ctx, "homes/s", []byte("h"), "")
	assert.NilError(t, err)
	_, err = fixture.client.Put(ctx, "groups/g", []byte("g"), "")
	assert.NilError(t, err)
	assert.NilError(t, <-done)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Name, "groups/g")
	objects, same, err := fixture.client.Watch(ctx, "groups/", next, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 0)
	assert.Equal(t, same, next)
	fixture.RestartSequence()
	_, _, err = fixture.client.Watch(ctx, "groups/", next, time.Minute)
	assert.Assert(t, errors.Is(err, platformer.ErrSequenceGone))
	assert.Equal(t, fixture.Counters().Calls[standin.Watch], uint64(3))
}

// Guards against pages that skip objects or exceed the response size that the
// client accepts.
func TestPages(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{}), t.Context()
	_, sequence, err := fixture.client.List(ctx, "")
	assert.NilError(t, err)
	large := bytes.Repeat([]byte("x"), platformer.MaxValueSize)
	const count = 6
	for index := range count {
		_, err := fixture.client.Put(ctx, fmt.Sprintf("assignments/%02d", index), large, "")
		assert.NilError(t, err)
	}
	objects, _, err := fixture.client.List(ctx, "assignments/")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), count)
	seen := 0
	for {
		changed, next, err := fixture.client.Watch(ctx, "assignments/", sequence, 0)
		assert.NilError(t, err)
		if len(changed) == 0 {
			break
		}
		seen, sequence = seen+len(changed), next
	}
	assert.Equal(t, seen, count)
	_, err = fixture.client.Put(ctx, "assignments/big", append(large, 'x'), "")
	assert.Assert(t, errors.Is(err, platformer.ErrTooLarge))
}

// Guards against rate limits that count reads as writes or do not refill over time.
func TestRateLimits(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{ReadRate: 2, WriteRate: 1}), t.Context()
	_, err := fixture.client.Put(ctx, "a", []byte("1"), "")
	assert.NilError(t, err)
	_, err = fixture.client.Put(ctx, "b", []byte("1"), "")
	assert.Assert(t, errors.Is(err, platformer.ErrRateLimited))
	for range 2 {
		_, err = fixture.client.Get(ctx, "a")
		assert.NilError(t, err)
	}
	_, err = fixture.client.Get(ctx, "a")
	assert.Assert(t, errors.Is(err, platformer.ErrRateLimited))
	fixture.clock.Advance(time.Second)
	_, err = fixture.client.Put(ctx, "b", []byte("1"), "")
	assert.NilError(t, err)
	assert.Equal(t, fixture.Counters().RateLimited, uint64(2))
}

// Guards against a list of VMs that shows changes before the lag has passed, and
// against control calls that accept unknown fields, unknown modes or a missing zone.
func TestVMsLag(t *testing.T) {
	fixture, ctx := newFixture(t, "", standin.Settings{VMLag: 3 * time.Second}), t.Context()
	control := func(path, body string) int {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, fixture.url+"/control/"+path, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, control("vms", `{"name":"vm1","zone":"z1","address":"127.0.0.1:1"}`), http.StatusOK)
	assert.Equal(t, control("vms", `{"nome":"vm1"}`), http.StatusBadRequest)
	assert.Equal(t, control("vms", `{"name":"vm1"}`), http.StatusBadRequest)
	assert.Equal(t, control("outage", `{"mode":"down"}`), http.StatusBadRequest)
	list, err := fixture.client.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	fixture.clock.Advance(3 * time.Second)
	fixture.RemoveVM("vm1")
	list, err = fixture.client.VMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []platformer.VM{{Name: "vm1", Zone: "z1", Address: "127.0.0.1:1"}})
	assert.Equal(t, control("settings", `{"vmLag":"0s"}`), http.StatusOK)
	list, err = fixture.client.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}

// Guards against Serve not returning when its context is done.
func TestServeStops(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, standin.New(clocker.System{}, standin.DefaultSettings()).Serve(ctx, listener))
}
