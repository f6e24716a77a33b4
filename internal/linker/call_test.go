package linker_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// echoNumber is a call handler that returns the number in the body of the call.
func echoNumber(_ context.Context, _ string, decode func(any) error) (any, error) {
	var number int
	err := decode(&number)
	return number, err
}

// Guards against answers that reach the wrong call when many calls are in flight
// and finish in another order than they began.
func TestCallsGetTheirOwnAnswers(t *testing.T) {
	fixture := newFixture(t, nil)
	release := make(chan struct{})
	fixture.server.Handle("odd", func(ctx context.Context, from string, decode func(any) error) (any, error) {
		assert.Check(t, from == "a")
		<-release
		return echoNumber(ctx, from, decode)
	})
	fixture.server.Handle("even", echoNumber)
	fixture.start(t)
	var odd, even errgroup.Group
	for number := range 100 {
		group, method := &even, "even"
		if number%2 == 1 {
			group, method = &odd, "odd"
		}
		group.Go(func() error {
			var answer int
			err := fixture.pool.Call(t.Context(), "b", method, number, &answer)
			assert.Check(t, answer == number, "got %d, expected %d", answer, number)
			return err
		})
	}
	assert.NilError(t, even.Wait())
	close(release)
	assert.NilError(t, odd.Wait())
}

// Guards against a late answer that is delivered to a later call, and against a
// handler whose context is not cancelled when its caller cancels the call.
func TestLateAnswerIsDropped(t *testing.T) {
	fixture := newFixture(t, nil)
	started, ended := make(chan struct{}), make(chan struct{})
	fixture.server.Handle("slow", func(ctx context.Context, _ string, _ func(any) error) (any, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return -1, nil
	})
	fixture.server.Handle("echo", echoNumber)
	fixture.start(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return fixture.pool.Call(ctx, "b", "slow", nil, nil) })
	<-started
	cancel()
	assert.Equal(t, kindOf(group.Wait()), answerer.OutcomeUnknown)
	<-ended
	for number := range 20 {
		var answer int
		assert.NilError(t, fixture.pool.Call(t.Context(), "b", "echo", number, &answer))
		assert.Equal(t, answer, number)
	}
}

// Guards against handler errors that lose their kind or their retry-after, against
// messages above the size bound, and against deadlines that are not transferred.
func TestCallErrors(t *testing.T) {
	fixture := newFixture(t, nil)
	fixture.server.Handle("fail", func(context.Context, string, func(any) error) (any, error) {
		return nil, answerer.New(answerer.NotRunStopping, "stopping").WithRetryAfter(time.Second)
	})
	fixture.server.Handle("large", func(context.Context, string, func(any) error) (any, error) {
		return make([]byte, 1<<20), nil
	})
	fixture.server.Handle("left", func(ctx context.Context, _ string, _ func(any) error) (any, error) {
		deadline, ok := ctx.Deadline()
		assert.Check(t, ok)
		return time.Until(deadline), nil
	})
	fixture.start(t)
	fixture.pool.LocalServer = fixture.server
	for _, vm := range []string{"b", "a"} { // over a link and to the local VM
		call := func(method string, body, answer any) error {
			return fixture.pool.Call(t.Context(), vm, method, body, answer)
		}
		err := answerer.From(call("fail", nil, nil))
		assert.Equal(t, err.Kind, answerer.NotRunStopping)
		assert.Equal(t, err.RetryAfter, time.Second)
		assert.Equal(t, kindOf(call("unknown", nil, nil)), answerer.Malformed)
	}
	assert.Equal(t, kindOf(fixture.pool.Call(t.Context(), "b", "large", nil, nil)), answerer.TooLarge)
	assert.Equal(t, kindOf(fixture.pool.Call(t.Context(), "b", "fail", make([]byte, 1<<20), nil)), answerer.TooLarge)
	assert.Equal(t, kindOf(fixture.pool.Call(t.Context(), "nobody", "fail", nil, nil)), answerer.NotRunUnavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var left time.Duration
	assert.NilError(t, fixture.pool.Call(ctx, "b", "left", nil, &left))
	assert.Assert(t, left > 0 && left <= 5*time.Second)
}

// Guards against a pool that does not reconnect when a VM restarts under the same
// address, and against a call to the former process that never returns.
func TestReconnectAfterRestart(t *testing.T) {
	fixture := newFixture(t, nil)
	fixture.server.Handle("hang", func(ctx context.Context, _ string, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	fixture.server.Handle("which", func(context.Context, string, func(any) error) (any, error) { return 1, nil })
	fixture.start(t)
	var answer int
	assert.NilError(t, fixture.pool.Call(t.Context(), "b", "which", nil, &answer))
	var group errgroup.Group
	group.Go(func() error { return fixture.pool.Call(t.Context(), "b", "hang", nil, nil) })
	address := fixture.listener.Listener.Addr().String()
	fixture.listener.Listener.Close()
	fixture.stop()
	assert.Assert(t, kindOf(group.Wait()) != "")

	restarted := &linker.Server{VM: "b", SharedKey: testKey}
	restarted.Handle("which", func(context.Context, string, func(any) error) (any, error) { return 2, nil })
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	second := httptest.NewUnstartedServer(restarted)
	second.Listener.Close()
	second.Listener = listener
	second.Start()
	ctx, cancel := context.WithCancel(context.Background())
	group = errgroup.Group{}
	group.Go(func() error { return restarted.Run(ctx) })
	waitFor(t, func() bool { return fixture.pool.Call(t.Context(), "b", "which", nil, &answer) == nil }, "reconnect")
	assert.Equal(t, answer, 2)
	cancel()
	assert.NilError(t, group.Wait())
	second.Close()
}
