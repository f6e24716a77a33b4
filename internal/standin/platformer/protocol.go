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

// maxWait bounds a watch.
const maxWait = 60 * time.Second

type entry struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Value   []byte `json:"value"`
}

func (object object) entry() entry {
	return entry{Name: object.name, Version: object.version, Value: object.value}
}

type page struct {
	Objects  []entry `json:"objects"`
	Sequence uint64  `json:"sequence"`
	Next     string  `json:"next,omitempty"`
	last     uint64
}

// routeProtocol registers the protocol twice: plainly, and under /from/<zone>,
// which tells the stand-in where a call comes from, so that an outage can be
// limited to some zones.
func (platform *Platform) routeProtocol(router *mux.Router) {
	for _, prefix := range []string{"", "/from/{zone}"} {
		router.HandleFunc(prefix+"/objects", platform.guard(List, platform.serveList)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/objects/{name:.+}", platform.guard(Get, platform.serveGet)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/objects/{name:.+}", platform.guard(Put, platform.servePut)).Methods(http.MethodPut)
		router.HandleFunc(prefix+"/watch", platform.guard(Watch, platform.serveWatch)).Methods(http.MethodGet)
		router.HandleFunc(prefix+"/vms", platform.guard(VMs, platform.serveVMs)).Methods(http.MethodGet)
	}
}

// guard counts the call, applies the outage and then the rate limit. The body is
// read first: the server notices only then that a waiting caller has gone.
func (platform *Platform) guard(kind CallKind, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.count(kind)
		body, err := io.ReadAll(io.LimitReader(request.Body, maxValue+1))
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
	required, err := requiredCondition(request.Header)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(request.Body) // guard has bounded it
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValue {
		platform.updateCounters(func(counters *Counters) { counters.TooLarge++ })
		http.Error(writer, "value is larger than 1000000 bytes", http.StatusRequestEntityTooLarge)
		return
	}
	version, result := platform.put(mux.Vars(request)["name"], value, required)
	if result == conflict {
		http.Error(writer, "condition does not hold", http.StatusPreconditionFailed)
		return
	}
	if platform.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("ETag", `"`+version+`"`)
	if required.absent {
		writer.WriteHeader(http.StatusCreated)
	}
}

func requiredCondition(header http.Header) (condition, error) {
	match, noneMatch := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case noneMatch == "*" && match == "":
		return condition{absent: true}, nil
	case noneMatch == "" && len(match) > 2 && strings.HasPrefix(match, `"`) && strings.HasSuffix(match, `"`):
		return condition{version: match[1 : len(match)-1]}, nil
	default:
		return condition{}, errors.New(`exactly one of If-Match: "<version>" and If-None-Match: * is required`)
	}
}

func (platform *Platform) serveList(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	answerJSON(writer, platform.list(query.Get("prefix"), query.Get("from")))
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
		result, gone, changed := platform.changes(query.Get("prefix"), after)
		if gone {
			http.Error(writer, "list again", http.StatusGone)
			return
		}
		if len(result.Objects) > 0 || expired {
			answerJSON(writer, result)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timer.C():
			expired = true
		case <-changed:
		}
		platform.applyOutage(Watch, request)
	}
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	list := platform.vms.at(platform.clock.Now().Add(-platform.settings.VMLag))
	platform.mutex.Unlock()
	answerJSON(writer, struct {
		VMs []platformer.VM `json:"vms"`
	}{list})
}

func answerJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
