package soaker

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	keyCount = 1 << 16
	slots    = 2
	// maxQueue is the number of requests that an upstream lets wait.
	maxQueue = 8
	// work is the time of one request.
	work = 30 * time.Millisecond
)

// holders are all upstreams of a keyed service, which check each other's keys.
type holders struct {
	mutex sync.Mutex
	all   []*Upstream
}

// Upstream is a stand-in of a server of the platform.
type Upstream struct {
	ID      string
	Service string
	Zone    string
	Keyed   bool

	judge    *Judge
	holders  *holders
	born     int64
	listener net.Listener
	server   *http.Server
	tokens   chan struct{}

	mutex    sync.Mutex
	draining bool
	// busyUntil is until when it refuses all requests, and wants none.
	busyUntil time.Time
	sequence  int // of the last entry
	waiting   int
	seen      map[int]uint64 // highest fence by key
	until     map[int]time.Time
}

// start begins to serve at the address; ":0" picks a port.
func (upstream *Upstream) start(address string, group *errgroup.Group) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	upstream.listener, upstream.born = listener, time.Now().UnixMilli()
	upstream.seen, upstream.until = map[int]uint64{}, map[int]time.Time{}
	upstream.tokens = make(chan struct{}, slots)
	upstream.server = &http.Server{Handler: upstream, ReadHeaderTimeout: time.Second}
	server := upstream.server
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// entry is what the upstream registers. It is not called concurrently.
func (upstream *Upstream) entry(address, state string) map[string]any {
	upstream.sequence++
	return map[string]any{
		"addr": address, "born": upstream.born,
		"info":   map[string]any{"service": upstream.Service, "zone": upstream.Zone, "version": "v1", "max-concurrency": slots},
		"status": map[string]any{"state": state, "sequence": upstream.sequence, "warmup-left-s": 0},
	}
}

// ServeHTTP implements http.Handler.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/grant", "/api/release":
		upstream.grant(writer, request)
	default:
		upstream.run(writer, request)
	}
}

func (upstream *Upstream) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence uint64  `json:"fence"`
		Hold  float64 `json:"hold-s"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.To >= keyCount {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	release := request.URL.Path == "/api/release"
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	for key := body.From; key <= body.To && !release; key++ {
		if upstream.seen[key] > body.Fence {
			writer.WriteHeader(http.StatusConflict)
			return
		}
	}
	end := time.Now().Add(time.Duration(body.Hold * float64(time.Second)))
	for key := body.From; key <= body.To; key++ {
		upstream.seen[key] = max(upstream.seen[key], body.Fence)
		if release {
			delete(upstream.until, key)
		} else {
			upstream.until[key] = end
		}
	}
	if release {
		writer.Header().Set("Cuminstream-Handover", "token")
	}
	writer.WriteHeader(http.StatusOK)
}

func (upstream *Upstream) holds(key int) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return time.Now().Before(upstream.until[key])
}

// refuse answers a request that does not run.
func refuse(writer http.ResponseWriter, status int) {
	writer.Header().Set("Cuminstream-Not-Executed", "1")
	writer.WriteHeader(status)
}

func (upstream *Upstream) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Cuminstream-Request-Id")
	writer.Header().Set("Cuminstream-Request-Id", id)
	if target := request.Header.Get("Cuminstream-Target-Instance"); target != "" && target != upstream.ID {
		refuse(writer, http.StatusMisdirectedRequest)
		return
	}
	upstream.judge.arrived(id, upstream)
	if upstream.writeNotices(writer, id) {
		refuse(writer, http.StatusServiceUnavailable)
		return
	}
	upstream.mutex.Lock()
	full := upstream.waiting >= maxQueue+slots
	if !full {
		upstream.waiting++
	}
	upstream.mutex.Unlock()
	if full {
		refuse(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		upstream.mutex.Lock()
		upstream.waiting--
		upstream.mutex.Unlock()
	}()
	select {
	case upstream.tokens <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-upstream.tokens }()
	if upstream.Keyed {
		key, err := strconv.Atoi(request.Header.Get("Cuminstream-Shard-Key"))
		if err != nil || !upstream.holds(key) {
			refuse(writer, http.StatusMisdirectedRequest)
			return
		}
		upstream.checkOthers(key)
	}
	upstream.judge.ran(id, upstream.ID)
	time.Sleep(workOf(request))
	writer.Header().Set("Cuminstream-Response-Seal", "seal")
	writeBody(writer, request, responseBody(id, sizeOf(request)))
}

// workOf returns the time that a request asks for in its query, in milliseconds, or work.
func workOf(request *http.Request) time.Duration {
	if asked, err := strconv.Atoi(request.URL.Query().Get("work")); err == nil {
		return time.Duration(asked) * time.Millisecond
	}
	return work
}

// checkOthers looks for another living upstream that holds the key.
func (upstream *Upstream) checkOthers(key int) {
	upstream.holders.mutex.Lock()
	all := append([]*Upstream(nil), upstream.holders.all...)
	upstream.holders.mutex.Unlock()
	for _, other := range all {
		if other != upstream && bothHold(upstream, other, key) {
			upstream.judge.overlap(key, upstream.ID, other.ID)
		}
	}
}

// bothHold reports whether both upstreams hold the key at the same moment. Looked at one
// after the other, a key that has moved in between would seem to be held by both.
func bothHold(a, b *Upstream, key int) bool {
	if a.ID > b.ID || (a.ID == b.ID && a.born > b.born) {
		a, b = b, a // all callers take the locks in the same order
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	return now.Before(a.until[key]) && now.Before(b.until[key])
}
