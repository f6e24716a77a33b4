package flooder

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
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

	// Endless are responses without end, by the name that the query parameter "endless" gives.
	// Requests that name no known one get an ordinary response.
	Endless map[string]EndlessResponse

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

// NewUpstream returns an upstream that knows all forms of responses without end.
func NewUpstream(work time.Duration, slots int) *Upstream {
	endless := EndlessHeads()
	maps.Copy(endless, EndlessBodies())
	return &Upstream{ID: "upstream-0", Work: work, Slots: slots, Endless: endless}
}

// EndlessResponse is what a faulty server sends in place of a response.
type EndlessResponse struct {
	Start    string
	Repeated string // until the connection is closed
}

// ManyHeaderNames is a head without end whose fields all have different names.
const ManyHeaderNames = "many header names"

// EndlessHeads are the forms of responses without end that never reach a body.
func EndlessHeads() map[string]EndlessResponse {
	var names strings.Builder
	for number := range 1 << 16 {
		_, _ = fmt.Fprintf(&names, "%x:\r\n", number)
	}
	return map[string]EndlessResponse{
		"status line":        {"", "x"},
		"header line":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"short header lines": {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		ManyHeaderNames:      {"HTTP/1.1 200 OK\r\n", names.String()},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	}
}

// EndlessBodies are the forms of responses whose body has no end.
func EndlessBodies() map[string]EndlessResponse {
	const chunked = "HTTP/1.1 200 OK\r\nCuminstream-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]EndlessResponse{
		"chunk size":       {chunked, "0"},
		"chunk extension":  {chunked, "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
		"trailer":          {chunked + "0\r\n", "X: y\r\n"},
		"chunks":           {chunked, "10\r\n0123456789abcdef\r\n"},
		"body until close": {"HTTP/1.1 200 OK\r\nCuminstream-Response-Seal: seal\r\n\r\n", "x"},
	}
}

// write writes the response until the connection is closed.
func (response EndlessResponse) write(conn net.Conn) {
	_, err := io.WriteString(conn, response.Start)
	block := []byte(strings.Repeat(response.Repeated, 1+endlessBlock/len(response.Repeated)))
	for err == nil {
		_, err = conn.Write(block)
	}
}

// endlessBlock is the least number of bytes of an endless response that are written at once.
const endlessBlock = 16 << 10

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
	if response, ok := upstream.Endless[request.URL.Query().Get("endless")]; ok {
		if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			response.write(conn)
			_ = conn.Close()
		}
		return
	}
	body := []byte(ordinaryBody)
	if size, err := strconv.Atoi(request.URL.Query().Get("size")); err == nil {
		body = bytes.Repeat([]byte("x"), size)
	}
	writer.Header().Set("Cuminstream-Request-Id", request.Header.Get("Cuminstream-Request-Id"))
	writer.Header().Set("Cuminstream-Response-Seal", "seal")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body) // the process may have closed the connection
}
