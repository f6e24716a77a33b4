package upstreamer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Headers by which tests control the handling of a single request.
const (
	HeaderCrash         = "Standin-Crash"        // any value: Crash is called once the request has started
	HeaderServiceTime   = "Standin-Service-Time" // a Go duration; replaces the service time
	HeaderResponseBytes = "Standin-Answer-Bytes" // size of the response body
	HeaderAbort         = "Standin-Cut"          // "before": no response; "body": half of HeaderResponseBytes; then the connection closes
)

// ResponseBody is the response body of a request without HeaderResponseBytes.
type ResponseBody struct {
	Upstream string `json:"upstream"`
	Request  string `json:"request"`
	Key      string `json:"key"`
	Bytes    int64  `json:"bytes"`
	SHA256   string `json:"sha256"`
}

// handleWork executes a request that is not part of the protocol's control paths.
// A panic with http.ErrAbortHandler closes the connection without a complete
// response.
func (upstream *Upstream) handleWork(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	if upstream.isDraining() {
		writer.Header().Set("Cuminstream-Draining", "true")
	}
	if !upstream.admit(writer, request) {
		return
	}
	kind, detail := Cancelled, "panic"
	defer func() { upstream.finish(request, kind, detail) }()
	if request.Header.Get(HeaderCrash) != "" {
		upstream.Crash()
		detail = "crash"
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := upstream.withDeadline(request)
	defer cancel()
	body, err := upstream.execute(ctx, request)
	if err != nil {
		detail = err.Error()
		panic(http.ErrAbortHandler)
	}
	upstream.waitWhileFrozen()
	kind, detail = Ended, ""
	upstream.writeResponse(writer, request, body)
}

func (upstream *Upstream) isDraining() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.behavior.Draining
}

// admit occupies a slot and reports true, or refuses the request before it starts.
func (upstream *Upstream) admit(writer http.ResponseWriter, request *http.Request) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if reason := upstream.checkGrant(request); reason != "" {
		upstream.appendRecord(Refused, request, reason)
		writeRefusal(writer, http.StatusConflict, "fenced", reason)
		return false
	}
	if upstream.behavior.Shed || upstream.running >= upstream.settings.Slots {
		upstream.appendRecord(Refused, request, "shed")
		writeRefusal(writer, http.StatusServiceUnavailable, "shed", "no free slot")
		return false
	}
	upstream.running++
	upstream.peakRunning = max(upstream.peakRunning, upstream.running)
	upstream.sampleLoad()
	if id := request.Header.Get("Cuminstream-Request-Id"); id != "" {
		timeout, _ := strconv.ParseInt(request.Header.Get("Cuminstream-Timeout"), 10, 64)
		deadline := upstream.clock.Now().Add(time.Duration(timeout) * time.Millisecond)
		upstream.inFlight[request] = RunningRequest{Request: id, Key: requestKey(request), deadline: deadline}
	}
	upstream.appendRecord(Started, request, "")
	return true
}

// finish releases the slot and records how the request ended.
func (upstream *Upstream) finish(request *http.Request, kind RecordKind, detail string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.running--
	delete(upstream.inFlight, request)
	upstream.sampleLoad()
	upstream.appendRecord(kind, request, detail)
}

// withDeadline returns the context of the request with the timeout of its header,
// if there is one.
func (upstream *Upstream) withDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(request.Header.Get("Cuminstream-Timeout"), 10, 64)
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return clocker.WithTimeout(request.Context(), upstream.clock, time.Duration(millis)*time.Millisecond)
}

// execute reads the body and sleeps for the service time of the request.
func (upstream *Upstream) execute(ctx context.Context, request *http.Request) (ResponseBody, error) {
	hash := sha256.New()
	size, err := io.Copy(hash, request.Body)
	if err != nil {
		return ResponseBody{}, err
	}
	if err := clocker.Sleep(ctx, upstream.clock, upstream.serviceTime(request)); err != nil {
		upstream.waitWhileFrozen()
		return ResponseBody{}, err
	}
	return ResponseBody{
		Upstream: upstream.settings.Name, Request: request.Header.Get("Cuminstream-Request-Id"),
		Key: requestKey(request), Bytes: size, SHA256: hex.EncodeToString(hash.Sum(nil)),
	}, nil
}

// serviceTime returns how long the request takes under the current behavior.
func (upstream *Upstream) serviceTime(request *http.Request) time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	duration := upstream.settings.serviceTime(request.Header.Get("Cuminstream-Rank"))
	if override, err := time.ParseDuration(request.Header.Get(HeaderServiceTime)); err == nil {
		duration = override
	}
	if upstream.behavior.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * upstream.behavior.SlowFactor)
	}
	if upstream.clock.Now().Sub(upstream.startTime) < upstream.settings.Cold {
		duration *= coldFactor
	}
	return duration
}

// writeResponse writes the response, or a part of it if HeaderAbort is set. The
// trailer Standin-Bytes holds the size of the request body. HeaderAbort "body" has
// an effect only together with HeaderResponseBytes.
func (upstream *Upstream) writeResponse(writer http.ResponseWriter, request *http.Request, body ResponseBody) {
	if request.Header.Get(HeaderAbort) == "before" {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Trailer", "Standin-Bytes")
	status := http.StatusOK
	if upstream.drawFailure() {
		status = http.StatusInternalServerError
	}
	size, err := strconv.ParseInt(request.Header.Get(HeaderResponseBytes), 10, 64)
	if err != nil {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
		writer.Header().Set("Standin-Bytes", strconv.FormatInt(body.Bytes, 10))
		return
	}
	writer.WriteHeader(status)
	abort := request.Header.Get(HeaderAbort) == "body"
	if abort {
		size /= 2
	}
	_, _ = io.CopyN(writer, repeatingReader('x'), size)
	if abort {
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Standin-Bytes", strconv.FormatInt(body.Bytes, 10))
}

// drawFailure decides at random whether the request fails, with the probability
// FailFraction.
func (upstream *Upstream) drawFailure() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.random.Float64() < upstream.behavior.FailFraction
}

// repeatingReader is an endless io.Reader of one byte value.
type repeatingReader byte

func (value repeatingReader) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = byte(value)
	}
	return len(buffer), nil
}
