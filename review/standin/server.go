package main

import (
	"context"
	"encoding/json"
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

const (
	// keyCount is the number of keys of a keyed service.
	keyCount = 1 << 16
	// serverQueue is how many requests a server lets wait.
	serverQueue = 8
	// shortAnswer is the length of an answer to a path that ends with /short.
	shortAnswer = 400
	// heartbeat is the interval at which servers write to the store.
	heartbeat = 870 * time.Millisecond
)

// Server is a stand-in of a server, which follows PROTOCOL.md.
type Server struct {
	Record  *Record
	Store   *Store
	ID      string
	Service string
	Zone    string
	Keyed   bool
	Slots   int
	Work    time.Duration
	// AnswerBytes is the length of the body of an answer.
	AnswerBytes int
	// Fault is nil for a sound server.
	Fault *Fault
	// OnGrant, if set, is called before a grant is carried out.
	OnGrant func(order Order)

	Address  string
	born     int64
	http     *http.Server
	mutex    sync.Mutex
	up       bool
	state    string
	sequence int
	waiting  int
	tokens   chan struct{}
	seen     []uint64    // the highest fence number, by key
	until    []time.Time // the end of the hold, by key
	held     []uint64    // the fence number of the hold, by key
	released []time.Time // the end that a released hold had, by key
	running  map[int]int // running requests, by key
	idle     *sync.Cond  // signals that a request has ended
	stopBeat chan struct{}
	loseNext func()               // see LoseCheckIn
	began    map[string]time.Time // when a request last began to run
	runs     map[string]int       // how often a request has run
}

// Start listens, registers the server and keeps its entry fresh.
func (server *Server) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.Address, server.born = listener.Addr().String(), time.Now().UnixMilli()
	server.up, server.state = true, "ready"
	server.tokens = make(chan struct{}, server.Slots)
	server.seen, server.held, server.until = make([]uint64, keyCount), make([]uint64, keyCount), make([]time.Time, keyCount)
	server.released = make([]time.Time, keyCount)
	server.running = map[int]int{}
	server.began, server.runs = map[string]time.Time{}, map[string]int{}
	server.idle = sync.NewCond(&server.mutex)
	server.stopBeat = make(chan struct{})
	server.http = &http.Server{Handler: server, ConnContext: connContext}
	go func() { _ = server.http.Serve(listener) }()
	server.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				server.beat()
			case <-server.stopBeat:
				return
			}
		}
	}()
	return nil
}

// beat writes the server's entry.
func (server *Server) beat() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.up {
		return
	}
	server.sequence++
	if lose := server.loseNext; lose != nil {
		server.loseNext = nil
		lose()
		return
	}
	server.Store.Put("servers", server.ID, server.spec(), server.status())
}

// spec and status return the parts of the entry. The mutex is held.
func (server *Server) spec() map[string]any {
	return map[string]any{
		"addr": server.Address, "born": server.born,
		"info": map[string]any{"service": server.Service, "version": "v1", "zone": server.Zone, "max-concurrency": server.Slots},
	}
}

func (server *Server) status() map[string]any {
	return map[string]any{"state": server.state, "sequence": server.sequence, "warmup-left-s": 0}
}

// Drain reports the planned shutdown. The server goes on serving.
func (server *Server) Drain() {
	server.mutex.Lock()
	server.state = "draining"
	server.mutex.Unlock()
	server.beat()
	server.Record.Linef("server %s: reports draining", server.ID)
}

// Leave ends the server and removes its entry.
func (server *Server) Leave() {
	server.mutex.Lock()
	server.up = false
	server.mutex.Unlock()
	close(server.stopBeat)
	_ = server.http.Close()
	server.Store.Remove("servers", server.ID)
	server.Record.Linef("server %s: has left", server.ID)
}

// Holds reports whether the server is up and holds the key, and the fence number.
func (server *Server) Holds(key int, now time.Time) (fence uint64, ok bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.held[key], server.up && now.Before(server.until[key])
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/grant", "/api/release":
		server.serveOrder(writer, request)
	case "/health":
		writer.Header().Set("Cuminstream-Instance-Id", server.ID)
	default:
		server.serveRequest(writer, request)
	}
}

func (server *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get("Cuminstream-Target-Instance"); target != "" && target != server.ID {
		server.refuse(writer, http.StatusMisdirectedRequest)
		return
	}
	state := request.Context().Value(connKey{}).(*copies)
	if second := state.second; second != nil {
		state.second = nil
		server.serveDoubledOrders(writer, request, second)
		return
	}
	var order Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, header := server.order(request.URL.Path, order)
	if server.Fault != nil && server.Fault.doubles() {
		state.second = response(status, header.Clone(), nil)
		server.Record.Linef("server %s: will send its answer to %s of %d-%d twice", server.ID, request.URL.Path, order.From, order.To)
	}
	for name, values := range header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(status)
}

// order carries out a grant or a release, and returns the answer.
func (server *Server) order(path string, body Order) (status int, header http.Header) {
	header = http.Header{}
	if body.From < 0 || body.To >= keyCount || body.From > body.To || body.Hold > 10 {
		return http.StatusBadRequest, header
	}
	if path == "/api/grant" && server.OnGrant != nil {
		server.OnGrant(body)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if path == "/api/release" {
		for key := body.From; key <= body.To; key++ {
			server.seen[key] = max(server.seen[key], body.Fence)
			if !server.until[key].IsZero() {
				server.released[key] = server.until[key]
			}
			server.until[key] = time.Time{}
		}
		began := time.Now()
		for server.busy(body.From, body.To) {
			server.idle.Wait()
		}
		server.Record.Linef("server %s: released %d-%d fence %d, after %v", server.ID, body.From, body.To, body.Fence, time.Since(began).Round(time.Millisecond))
		header.Set("Cuminstream-Handover", fmt.Sprint("handover-", body.Fence))
		return http.StatusOK, header
	}
	for key := body.From; key <= body.To; key++ {
		if server.seen[key] > body.Fence {
			server.Record.Linef("server %s: refused %d-%d fence %d, has seen %d", server.ID, body.From, body.To, body.Fence, server.seen[key])
			return http.StatusConflict, header
		}
	}
	until := time.Now().Add(time.Duration(body.Hold * float64(time.Second)))
	isNew := server.until[body.From].IsZero() || server.held[body.From] != body.Fence
	for key := body.From; key <= body.To; key++ {
		server.seen[key], server.held[key], server.until[key] = body.Fence, body.Fence, until
	}
	if isNew {
		server.Record.Linef("server %s: granted %d-%d fence %d for %.1f s", server.ID, body.From, body.To, body.Fence, body.Hold)
	}
	return http.StatusOK, header
}

// busy reports whether requests on the keys are running. The mutex is held.
func (server *Server) busy(from, to int) bool {
	for key := range server.running {
		if key >= from && key <= to {
			return true
		}
	}
	return false
}

// refuse answers a request that does not run.
func (server *Server) refuse(writer http.ResponseWriter, status int) {
	writer.Header().Set("Cuminstream-Not-Executed", "1")
	writer.Header().Set("Cuminstream-Instance-Id", server.ID)
	writer.WriteHeader(status)
}

func (server *Server) serveRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Cuminstream-Request-Id")
	writer.Header().Set("Cuminstream-Request-Id", id)
	target := request.Header.Get("Cuminstream-Target-Instance")
	if target != "" && target != server.ID {
		server.refuse(writer, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		server.refuse(writer, http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	work := func(ctx context.Context) (int, http.Header, []byte) { return server.work(ctx, request, id) }
	if server.serveFaulty(writer, request, id, work) {
		return
	}
	status, header, body := work(request.Context())
	if status == 0 {
		return // the connection has closed
	}
	for name, values := range header {
		writer.Header()[name] = values
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	written, err := writer.Write(body)
	if status == http.StatusOK {
		server.Record.Linef("server %s: answered %s with 200, %d bytes written, error %v", server.ID, id, written, err)
	}
}

// work waits for a slot, runs the request and returns its answer. A status of 0 means
// that ctx has ended.
func (server *Server) work(ctx context.Context, request *http.Request, id string) (status int, header http.Header, body []byte) {
	header = http.Header{"Cuminstream-Request-Id": {id}}
	notExecuted := func(status int) (int, http.Header, []byte) {
		header.Set("Cuminstream-Not-Executed", "1")
		header.Set("Cuminstream-Instance-Id", server.ID)
		return status, header, nil
	}
	if !server.join() {
		return notExecuted(http.StatusServiceUnavailable)
	}
	defer server.leave()
	select {
	case server.tokens <- struct{}{}:
	case <-ctx.Done():
		return 0, nil, nil
	}
	defer func() { <-server.tokens }()
	key := -1
	if server.Keyed {
		var err error
		if key, err = strconv.Atoi(request.Header.Get("Cuminstream-Shard-Key")); err != nil || key < 0 || key >= keyCount || !server.begin(key) {
			return notExecuted(http.StatusMisdirectedRequest)
		}
		defer server.end(key)
	}
	server.mutex.Lock()
	server.began[id] = time.Now()
	server.runs[id]++
	server.mutex.Unlock()
	server.Record.Linef("server %s: runs %s %s %s key %d", server.ID, id, request.Method, request.RequestURI, key)
	select {
	case <-time.After(server.Work):
	case <-ctx.Done():
		return 0, nil, nil
	}
	body = make([]byte, server.answerLength(request.URL.Path))
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	header.Set("Cuminstream-Response-Seal", fmt.Sprint("seal.", id))
	header.Set("Cuminstream-Server-Load", fmt.Sprintf("%d,%d,%d", len(server.tokens)-1, 0, server.Slots))
	return http.StatusOK, header, body
}

// answerLength returns the length of the body of an answer.
func (server *Server) answerLength(path string) int {
	if strings.HasSuffix(path, "/short") {
		return min(server.AnswerBytes, shortAnswer)
	}
	return server.AnswerBytes
}

// join counts a request; it returns false if the queue is full.
func (server *Server) join() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.waiting >= server.Slots+serverQueue {
		return false
	}
	server.waiting++
	return true
}

func (server *Server) leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.waiting--
}

// begin counts a running request on the key, unless the server does not hold it.
func (server *Server) begin(key int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !time.Now().Before(server.until[key]) {
		return false
	}
	server.running[key]++
	return true
}

func (server *Server) end(key int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running[key]--; server.running[key] == 0 {
		delete(server.running, key)
	}
	server.idle.Broadcast()
}

// Runs returns when each request began to run here.
func (server *Server) Runs() map[string]time.Time {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return maps.Clone(server.began)
}

// Running returns how many requests are running.
func (server *Server) Running() int { return len(server.tokens) }
