package platformer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxWait is the longest time that a watch waits for changes.
const maxWait = 60 * time.Second

// entry is an object in the response to a list or a watch. JSON holds Value in base64.
type entry struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Value   []byte `json:"value"`
}

func (object object) entry() entry {
	return entry{Name: object.name, Version: object.version, Value: object.value}
}

// page is the response to a list or a watch. Next is the name at which the next
// page of a list starts.
type page struct {
	Objects      []entry `json:"objects"`
	Sequence     uint64  `json:"sequence"`
	Next         string  `json:"next,omitempty"`
	lastSequence uint64  // sequence number of the last object, set by changes
}

// registerProtocolRoutes registers the routes of the protocol at the root and under
// /from/<zone>. The second form tells the stand-in the zone of the caller, so that an
// outage can be limited to some zones.
func (platform *Platform) registerProtocolRoutes(router *mux.Router) {
	for _, prefix := range []string{"", "/from/{zone}"} {
		router.HandleFunc(prefix+"/objects", platform.withFaultsAndLimits(List, platform.serveList)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/objects/{name:.+}", platform.withFaultsAndLimits(Get, platform.serveGet)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/objects/{name:.+}", platform.withFaultsAndLimits(Put, platform.servePut)).Methods(http.MethodPut)
		router.HandleFunc(prefix+"/watch", platform.withFaultsAndLimits(Watch, platform.serveWatch)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/vms", platform.withFaultsAndLimits(VMs, platform.serveVMs)).Methods(http.MethodGet)
	}
}

// withFaultsAndLimits counts the call and applies the outage and then the rate limit
// before it calls serve. It reads the body first, because net/http detects that a
// caller has disconnected only once the body was read.
func (platform *Platform) withFaultsAndLimits(kind CallKind, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.countCall(kind)
		body, err := io.ReadAll(io.LimitReader(request.Body, maxValueSize+1))
		if err != nil {
			http.Error(writer, "body was cut", http.StatusBadRequest)
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		platform.applyOutage(kind, request)
		if !platform.allow(kind) {
			writer.Header().Set("Retry-After", "1")
			http.Error(writer, "rate limit", http.StatusTooManyRequests)
			return
		}
		serve(writer, request)
	}
}

// allow applies the rate limit for writes or for all other calls.
func (platform *Platform) allow(kind CallKind) bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	limiter := platform.reads
	if kind == Put {
		limiter = platform.writes
	}
	if limiter.AllowN(platform.clock.Now(), 1) {
		return true
	}
	platform.counters.RateLimited++
	return false
}

func (platform *Platform) serveGet(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	found, exists := platform.objects[mux.Vars(request)["name"]]
	platform.mutex.Unlock()
	if !exists {
		http.Error(writer, "object does not exist", http.StatusNotFound)
		return
	}
	writer.Header().Set("ETag", `"`+found.version+`"`)
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(found.value)
}

func (platform *Platform) servePut(writer http.ResponseWriter, request *http.Request) {
	condition, err := parsePrecondition(request.Header)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(request.Body) // withFaultsAndLimits limited its size
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValueSize {
		platform.updateCounters(func(counters *Counters) { counters.TooLarge++ })
		http.Error(writer, "value is larger than 1000000 bytes", http.StatusRequestEntityTooLarge)
		return
	}
	version, result := platform.put(mux.Vars(request)["name"], value, condition)
	if result == conflict {
		http.Error(writer, "condition does not hold", http.StatusPreconditionFailed)
		return
	}
	if platform.shouldLoseResponse() {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("ETag", `"`+version+`"`)
	if condition.absent {
		writer.WriteHeader(http.StatusCreated)
	}
}

// parsePrecondition returns the condition of a write. It requires exactly one of
// If-Match with a quoted version and If-None-Match with *.
func parsePrecondition(header http.Header) (precondition, error) {
	match, noneMatch := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case noneMatch == "*" && match == "":
		return precondition{absent: true}, nil
	case noneMatch == "" && len(match) > 2 && strings.HasPrefix(match, `"`) && strings.HasSuffix(match, `"`):
		return precondition{version: match[1 : len(match)-1]}, nil
	default:
		return precondition{}, errors.New(`exactly one of If-Match: "<version>" and If-None-Match: * is required`)
	}
}

func (platform *Platform) serveList(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	writeJSON(writer, platform.list(query.Get("prefix"), query.Get("from")))
}

func (platform *Platform) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, sequenceErr := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("timeout"))
	if sequenceErr != nil || waitErr != nil || wait < 0 {
		http.Error(writer, "after and timeout are required", http.StatusBadRequest)
		return
	}
	timer := platform.clock.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for expired := false; ; {
		result, cannotResume, changed := platform.changes(query.Get("prefix"), after)
		// An outage that began before changed was read does not close changed.
		platform.applyOutage(Watch, request)
		if cannotResume {
			http.Error(writer, "list again", http.StatusGone)
			return
		}
		if len(result.Objects) > 0 || expired {
			writeJSON(writer, result)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timer.C():
			expired = true
		case <-changed:
		}
	}
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	list := platform.vms.at(platform.clock.Now().Add(-platform.settings.VMLag))
	platform.mutex.Unlock()
	writeJSON(writer, struct {
		VMs []platformer.VM `json:"vms"`
	}{list})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
