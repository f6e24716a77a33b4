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

// Upstream is the stand-in. It implements http.Handler; Serve runs it on a
// listener.
type Upstream struct {
	settings  Settings
	clock     clocker.Clock
	startTime time.Time // timestamps count from it
	instance  string    // see StatusResponse
	router    *mux.Router
	// Crash is called for requests with HeaderCrash and for POST /control/crash.
	// By default it is Close.
	Crash func()
	// RecordWriter receives each record as a line of JSON if it is not nil.
	RecordWriter io.Writer

	mutex       sync.Mutex
	behavior    Behavior
	thawed      chan struct{} // closed while the stand-in is not frozen
	grant       *Grant
	expiry      time.Time                        // of the grant
	running     int                              // requests that occupy a slot
	inFlight    map[*http.Request]RunningRequest // of them, those with an ID
	peakRunning int                              // largest value of running
	records     []Record
	loadSamples []loadSample
	random      *rand.Rand
	server      *http.Server
	address     string
}

// New returns a stand-in that does not listen yet.
func New(settings Settings, clock clocker.Clock) *Upstream {
	upstream := &Upstream{
		settings:  settings,
		clock:     clock,
		startTime: clock.Now(),
		inFlight:  map[*http.Request]RunningRequest{},
		instance:  strconv.FormatUint(rand.Uint64(), 36),
		thawed:    make(chan struct{}),
		random:    rand.New(rand.NewPCG(settings.Seed, 0)),
		router:    mux.NewRouter().SkipClean(true).UseEncodedPath(),
	}
	close(upstream.thawed)
	upstream.Crash = upstream.Close
	upstream.addControlRoutes()
	upstream.router.HandleFunc("/cuminstream/grant", upstream.putGrant).Methods(http.MethodPut)
	upstream.router.HandleFunc("/cuminstream/grant", upstream.getGrant).Methods(http.MethodGet)
	upstream.router.HandleFunc("/cuminstream/health", upstream.getHealth)
	upstream.router.HandleFunc("/cuminstream/load", upstream.getLoad)
	upstream.router.PathPrefix("/").HandlerFunc(upstream.handleWork)
	return upstream
}

// ServeHTTP handles a request of the upstream protocol or of a test to /control.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.router.ServeHTTP(writer, request)
}

// waitWhileFrozen blocks while the stand-in is frozen. Like a process that was
// stopped by a signal, it does not notice meanwhile that the connection is closed.
func (upstream *Upstream) waitWhileFrozen() {
	upstream.mutex.Lock()
	thawed := upstream.thawed
	upstream.mutex.Unlock()
	<-thawed
}

// timestamp returns the milliseconds since the stand-in started, plus one so that
// 0 means "not read".
func (upstream *Upstream) timestamp() int64 {
	return upstream.clock.Now().Sub(upstream.startTime).Milliseconds() + 1
}

// appendRecord adds a record of the event and writes it to RecordWriter.
func (upstream *Upstream) appendRecord(kind RecordKind, request *http.Request, detail string) {
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

// requestKey returns the key of the request. The header contains it
// percent-encoded.
func requestKey(request *http.Request) string {
	key, err := url.PathUnescape(request.Header.Get("Cuminstream-Key"))
	if err != nil {
		return ""
	}
	return key
}

// Name returns the configured name.
func (upstream *Upstream) Name() string { return upstream.settings.Name }

// Records returns a copy of all records, in the order of the events.
func (upstream *Upstream) Records() []Record {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return append([]Record(nil), upstream.records...)
}

// PeakRunning returns the largest number of requests that ran at the same time.
func (upstream *Upstream) PeakRunning() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.peakRunning
}

// UpdateBehavior calls the function with the behavior, which it may change.
func (upstream *Upstream) UpdateBehavior(change func(*Behavior)) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	wasFrozen := upstream.behavior.Frozen
	change(&upstream.behavior)
	switch {
	case upstream.behavior.Frozen && !wasFrozen:
		upstream.thawed = make(chan struct{})
	case !upstream.behavior.Frozen && wasFrozen:
		close(upstream.thawed)
	}
}

// writeRefusal writes a response which says that the request did not start.
func writeRefusal(writer http.ResponseWriter, status int, reason, detail string) {
	writer.Header().Set("Cuminstream-Refusal", reason)
	http.Error(writer, fmt.Sprintf("%s: %s", reason, detail), status)
}
