package upstreamer

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Upstream is the stand-in. It is an http.Handler; Serve puts it on a listener.
type Upstream struct {
	settings Settings
	clock    clocker.Clock
	origin   time.Time // of the stamps
	instance string
	router   *mux.Router
	// Crash is called when a request asks for it. The default closes the
	// listener and all connections.
	Crash func()
	// RecordWriter gets each record as a line of JSON where it is not nil.
	RecordWriter io.Writer

	mutex    sync.Mutex
	behavior Behavior
	thawed   chan struct{} // closed while the stand-in is not frozen
	grant    *Grant
	expiry   time.Time
	running  int
	started  map[*http.Request]RunningRequest
	highest  int // most requests that ran at once
	records  []Record
	loads    []loadSample
	random   *rand.Rand
	server   *http.Server
	address  string
}

// New returns a stand-in that is not yet on a listener.
func New(settings Settings, clock clocker.Clock) *Upstream {
	upstream := &Upstream{
		settings: settings,
		clock:    clock,
		origin:   clock.Now(),
		started:  map[*http.Request]RunningRequest{},
		instance: strconv.FormatUint(rand.Uint64(), 36),
		thawed:   make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		router:   mux.NewRouter().SkipClean(true).UseEncodedPath(),
	}
	close(upstream.thawed)
	upstream.Crash = upstream.Close
	upstream.addControl()
	upstream.router.HandleFunc("/cuminstream/grant", upstream.putGrant).Methods(http.MethodPut)
	upstream.router.HandleFunc("/cuminstream/grant", upstream.getGrant).Methods(http.MethodGet)
	upstream.router.HandleFunc("/cuminstream/health", upstream.health)
	upstream.router.HandleFunc("/cuminstream/load", upstream.load)
	upstream.router.PathPrefix("/").HandlerFunc(upstream.work)
	return upstream
}

// ServeHTTP answers a request of the protocol or of the test's control.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.router.ServeHTTP(writer, request)
}

// thaw waits while the stand-in is frozen. Like a paused process, it does not
// notice meanwhile that the connection was closed.
func (upstream *Upstream) thaw() {
	upstream.mutex.Lock()
	thawed := upstream.thawed
	upstream.mutex.Unlock()
	<-thawed
}

// stamp is the stand-in's clock in milliseconds since it started, plus one so
// that 0 means "not read".
func (upstream *Upstream) stamp() int64 {
	return upstream.clock.Now().Sub(upstream.origin).Milliseconds() + 1
}

func (upstream *Upstream) record(kind RecordKind, request *http.Request, detail string) {
	term, _ := strconv.ParseUint(request.Header.Get("Cuminstream-Term"), 10, 64)
	record := Record{
		Kind: kind, Time: upstream.clock.Now(), Request: request.Header.Get("Cuminstream-Request-Id"),
		Key: requestKey(request), Shard: request.Header.Get("Cuminstream-Shard"),
		Term: term, Detail: detail,
	}
	upstream.records = append(upstream.records, record)
	if upstream.RecordWriter != nil {
		_ = json.NewEncoder(upstream.RecordWriter).Encode(record)
	}
}

// requestKey returns the key, which the header carries percent-encoded.
func requestKey(request *http.Request) string {
	key, err := url.PathUnescape(request.Header.Get("Cuminstream-Key"))
	if err != nil {
		return ""
	}
	return key
}

// Name returns the name of the settings.
func (upstream *Upstream) Name() string { return upstream.settings.Name }

// Records returns a copy of the record of all work.
func (upstream *Upstream) Records() []Record {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return append([]Record(nil), upstream.records...)
}

// PeakRunning returns the most requests that ever ran at once.
func (upstream *Upstream) PeakRunning() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.highest
}

// UpdateBehavior applies the function to the behavior.
func (upstream *Upstream) UpdateBehavior(change func(*Behavior)) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	before := upstream.behavior.Frozen
	change(&upstream.behavior)
	switch {
	case upstream.behavior.Frozen && !before:
		upstream.thawed = make(chan struct{})
	case !upstream.behavior.Frozen && before:
		close(upstream.thawed)
	}
}

// refuse answers that the request did not start.
func refuse(writer http.ResponseWriter, status int, reason, detail string) {
	writer.Header().Set("Cuminstream-Refusal", reason)
	http.Error(writer, fmt.Sprintf("%s: %s", reason, detail), status)
}
