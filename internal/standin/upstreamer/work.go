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

// Headers by which a test asks for a behavior of one request.
const (
	HeaderCrash       = "Standin-Crash"        // any value: the process ends once the work has started
	HeaderServiceTime = "Standin-Service-Time" // duration with a unit
	HeaderResponseBytes = "Standin-Answer-Bytes" // size of the answer
	HeaderAbort         = "Standin-Cut"          // "before" the answer, or "body": in the middle of it
)

// ResponseBody is the body of a successful answer without HeaderAnswerBytes.
type ResponseBody struct {
	Upstream string `json:"upstream"`
	Request  string `json:"request"`
	Key      string `json:"key"`
	Bytes    int64  `json:"bytes"`
	SHA256   string `json:"sha256"`
}

func (upstream *Upstream) work(writer http.ResponseWriter, request *http.Request) {
	upstream.thaw()
	if upstream.behavesDraining() {
		writer.Header().Set("Cuminstream-Draining", "true")
	}
	if !upstream.begin(writer, request) {
		return
	}
	kind, detail := Cancelled, "panic"
	defer func() { upstream.end(request, kind, detail) }()
	if request.Header.Get(HeaderCrash) != "" {
		upstream.Crash()
		detail = "crash"
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := upstream.deadline(request)
	defer cancel()
	answer, err := upstream.run(ctx, request)
	if err != nil {
		detail = err.Error()
		panic(http.ErrAbortHandler)
	}
	upstream.thaw()
	kind, detail = Ended, ""
	upstream.answer(writer, request, answer)
}

func (upstream *Upstream) behavesDraining() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.behavior.Draining
}

// begin takes a slot, or refuses the request before it starts.
func (upstream *Upstream) begin(writer http.ResponseWriter, request *http.Request) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if reason := upstream.fenced(request); reason != "" {
		upstream.record(Refused, request, reason)
		refuse(writer, http.StatusConflict, "fenced", reason)
		return false
	}
	if upstream.behavior.Shed || upstream.running >= upstream.settings.Slots {
		upstream.record(Refused, request, "shed")
		refuse(writer, http.StatusServiceUnavailable, "shed", "no free slot")
		return false
	}
	upstream.running++
	upstream.highest = max(upstream.highest, upstream.running)
	upstream.sampleLoad()
	if id := request.Header.Get("Cuminstream-Request-Id"); id != "" {
		left, _ := strconv.ParseInt(request.Header.Get("Cuminstream-Timeout"), 10, 64)
		deadline := upstream.clock.Now().Add(time.Duration(left) * time.Millisecond)
		upstream.started[request] = RunningRequest{Request: id, Key: requestKey(request), deadline: deadline}
	}
	upstream.record(Started, request, "")
	return true
}

func (upstream *Upstream) end(request *http.Request, kind RecordKind, detail string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.running--
	delete(upstream.started, request)
	upstream.sampleLoad()
	upstream.record(kind, request, detail)
}

func (upstream *Upstream) deadline(request *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(request.Header.Get("Cuminstream-Timeout"), 10, 64)
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return clocker.WithTimeout(request.Context(), upstream.clock, time.Duration(millis)*time.Millisecond)
}

// run reads the body and works for the service time of the request.
func (upstream *Upstream) run(ctx context.Context, request *http.Request) (ResponseBody, error) {
	hash := sha256.New()
	size, err := io.Copy(hash, request.Body)
	if err != nil {
		return ResponseBody{}, err
	}
	if err := clocker.Sleep(ctx, upstream.clock, upstream.duration(request)); err != nil {
		upstream.thaw()
		return ResponseBody{}, err
	}
	return ResponseBody{
		Upstream: upstream.settings.Name, Request: request.Header.Get("Cuminstream-Request-Id"),
		Key: requestKey(request), Bytes: size, SHA256: hex.EncodeToString(hash.Sum(nil)),
	}, nil
}

func (upstream *Upstream) duration(request *http.Request) time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	duration := upstream.settings.serviceTime(request.Header.Get("Cuminstream-Rank"))
	if own, err := time.ParseDuration(request.Header.Get(HeaderServiceTime)); err == nil {
		duration = own
	}
	if upstream.behavior.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * upstream.behavior.SlowFactor)
	}
	if upstream.clock.Now().Sub(upstream.origin) < upstream.settings.Cold {
		duration *= coldFactor
	}
	return duration
}

func (upstream *Upstream) answer(writer http.ResponseWriter, request *http.Request, answer ResponseBody) {
	if request.Header.Get(HeaderAbort) == "before" {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Trailer", "Standin-Bytes")
	status := http.StatusOK
	if upstream.fails() {
		status = http.StatusInternalServerError
	}
	size, err := strconv.ParseInt(request.Header.Get(HeaderResponseBytes), 10, 64)
	if err != nil {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(answer)
		writer.Header().Set("Standin-Bytes", strconv.FormatInt(answer.Bytes, 10))
		return
	}
	writer.WriteHeader(status)
	cut := request.Header.Get(HeaderAbort) == "body"
	if cut {
		size /= 2
	}
	_, _ = io.CopyN(writer, repeated('x'), size)
	if cut {
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Standin-Bytes", strconv.FormatInt(answer.Bytes, 10))
}

func (upstream *Upstream) fails() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.random.Float64() < upstream.behavior.FailFraction
}

// repeated reads as an endless sequence of one byte.
type repeated byte

func (value repeated) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = byte(value)
	}
	return len(buffer), nil
}
