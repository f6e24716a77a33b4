package edger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/soaker"
	"github.com/cuminstream/cuminstream/platform"
)

// slowUpstream runs every request for a second and records its ID.
type slowUpstream struct{ countingUpstream }

func (upstream *slowUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(time.Second)
	upstream.countingUpstream.ServeHTTP(writer, request)
}

// upload is a request on a connection of its own. A part of it may be held back.
type upload struct {
	id     string
	conn   net.Conn
	status int // 0 if the connection ended without an answer
}

const uploadBytes = 2000

func newUpload(t *testing.T, address, id string) *upload {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	return &upload{id: id, conn: conn}
}

// send sends the head and the body except for the last heldBack bytes.
func (upload *upload) send(heldBack int) {
	_, _ = fmt.Fprintf(upload.conn, "POST /uploads/x HTTP/1.1\r\nHost: fleet.example\r\nCuminstream-Deadline-Ms: 8000\r\nCuminstream-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		upload.id, uploadBytes, strings.Repeat("a", uploadBytes-heldBack))
}

func (upload *upload) receive() {
	defer func() { _ = upload.conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(upload.conn), nil)
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, response.Body); err == nil {
		upload.status = response.StatusCode
	}
}

// stopUnderUploads runs a VM with four slots for uploads of a second each, stops it, and
// returns the uploads that the callers have sent meanwhile, with their answers.
func stopUnderUploads(t *testing.T, callers func(address string) []*upload) ([]*upload, *slowUpstream) {
	store := soaker.NewStore()
	assert.NilError(t, store.Put("config", "main", map[string]any{
		"version":  "r1",
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service"}, "rows": [][]any{{"uploads", "fleet.example", "/uploads/", "upload", 4, 4, 0, 1, "uploads"}}},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "sharded"}, "rows": [][]any{{"uploads", "/health", 100, false}}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
	}))
	platformServer := httptest.NewServer(store)
	defer platformServer.Close()
	upstream := &slowUpstream{countingUpstream{ran: map[string]int{}}}
	upstreamServer := httptest.NewServer(upstream)
	defer upstreamServer.Close()
	for _, id := range []string{"i-0", "i-1"} {
		assert.NilError(t, store.Put(platform.KindUpstreams, id, map[string]any{
			"addr": upstreamServer.Listener.Addr().String(), "born": 1,
			"info":   map[string]any{"service": "uploads", "zone": "zone-0", "version": "v1", "max-concurrency": 2},
			"status": map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0},
		}))
	}
	ctx, stop := context.WithCancel(t.Context())
	edge := newEdge(t, 0, strings.TrimPrefix(platformServer.URL, "http://"))
	edge.FirstStart, edge.GracePeriod = false, 6*time.Second
	var group errgroup.Group
	group.Go(func() error { return edge.Run(ctx) })
	time.Sleep(5 * time.Second)
	for i := range 4 { // the VM learns how long the uploads run
		first := newUpload(t, edge.CallerListen, fmt.Sprintf("00ff%012x", i))
		first.send(0)
		first.receive()
		assert.Equal(t, first.status, http.StatusOK)
	}
	stop()
	uploads := callers(edge.CallerListen)
	assert.NilError(t, group.Wait())
	return uploads, upstream
}

// assertAnswered checks that each upload was answered, and that only those that have not run
// were answered "not run".
func assertAnswered(t *testing.T, uploads []*upload, upstream *slowUpstream) (served int) {
	t.Helper()
	for _, upload := range uploads {
		ran := upstream.ran[upload.id]
		t.Logf("upload %s: status %d, ran %d times", upload.id, upload.status, ran)
		assert.Check(t, upload.status == http.StatusOK || upload.status == http.StatusServiceUnavailable, "upload %s: status %d, ran %d times", upload.id, upload.status, ran)
		assert.Check(t, (upload.status == http.StatusOK) == (ran == 1), "upload %s: status %d, ran %d times", upload.id, upload.status, ran)
		served += ran
	}
	return served
}

// Guards against a planned stop that closes connections, without an answer, on which requests
// wait for a slot or run in one that they got too late.
func TestPlannedStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	uploads, upstream := stopUnderUploads(t, func(address string) []*upload {
		var waiting []*upload
		for i := range 16 {
			waiting = append(waiting, newUpload(t, address, fmt.Sprintf("0001%012x", i)))
		}
		time.Sleep(2500 * time.Millisecond)
		var answered sync.WaitGroup
		for _, upload := range waiting {
			upload.send(0)
			answered.Go(upload.receive)
		}
		answered.Wait()
		return waiting
	})
	assert.Assert(t, assertAnswered(t, uploads, upstream) >= 4)
}

// Guards against a planned stop that passes on a request that arrives as a whole late in the
// grace period, and cuts it while an upstream runs it. Uploads that are incomplete by then are
// refused too.
func TestPlannedStopRefusesRequestsThatArriveLate(t *testing.T) {
	t.Parallel()
	uploads, upstream := stopUnderUploads(t, func(address string) []*upload {
		time.Sleep(2400 * time.Millisecond)
		var late []*upload
		var answered sync.WaitGroup
		for i := range 4 {
			created := newUpload(t, address, fmt.Sprintf("0002%012x", i))
			created.send(1)
			late = append(late, created)
			answered.Go(created.receive)
		}
		time.Sleep(2300 * time.Millisecond)
		for _, upload := range late[:2] {
			_, _ = io.WriteString(upload.conn, "a")
		}
		answered.Wait()
		return late
	})
	assert.Equal(t, assertAnswered(t, uploads, upstream), 0)
}
