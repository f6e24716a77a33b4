package flooder

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ordinaryBody is the body of a response whose size nobody asked for.
const ordinaryBody = "served"

// Upstream is a stand-in of a server of the platform. It reads the whole body of a request
// before it responds.
type Upstream struct {
	ID    string
	Work  time.Duration
	Slots int

	once    sync.Once
	tokens  chan struct{}
	mutex   sync.Mutex
	present int
	most    int
}

// MostPresent returns the largest number of requests that were at the upstream at once.
func (upstream *Upstream) MostPresent() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.most
}

func (upstream *Upstream) entry(address string) map[string]any {
	return map[string]any{
		"addr": address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "flood", "zone": "zone-a", "version": "v1", "max-concurrency": upstream.Slots},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0},
	}
}

// ServeHTTP implements http.Handler. The query parameter "size" asks for a response of that
// size.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.once.Do(func() { upstream.tokens = make(chan struct{}, upstream.Slots) })
	upstream.mutex.Lock()
	upstream.present++
	upstream.most = max(upstream.most, upstream.present)
	upstream.mutex.Unlock()
	defer func() {
		upstream.mutex.Lock()
		upstream.present--
		upstream.mutex.Unlock()
	}()
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the request did not arrive as a whole
	}
	select {
	case upstream.tokens <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	time.Sleep(upstream.Work)
	<-upstream.tokens
	body := []byte(ordinaryBody)
	if size, err := strconv.Atoi(request.URL.Query().Get("size")); err == nil {
		body = bytes.Repeat([]byte("x"), size)
	}
	writer.Header().Set("Cuminstream-Request-Id", request.Header.Get("Cuminstream-Request-Id"))
	writer.Header().Set("Cuminstream-Response-Seal", "seal")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body) // the process may have closed the connection
}
