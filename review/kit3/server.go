package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func newID(prefix string) string {
	data := make([]byte, 5)
	_, _ = rand.Read(data)
	return prefix + hex.EncodeToString(data)
}

// hold is a grant of keys that a server has accepted.
type hold struct {
	fence uint64
	until time.Time
}

// Server is a stand-in for a server of the users (PROTOCOL, "Servers" and "Keys that servers
// hold").
type Server struct {
	Store     *Store
	Record    *Record
	Service   string
	Zone      string
	Slots     int
	Sharded   bool
	Heartbeat time.Duration
	// Work does the work of a request. It may call Crash.
	Work func(server *Server, writer http.ResponseWriter, request *http.Request, body []byte)

	mutex    sync.Mutex
	ID       string
	Addr     string
	born     int64
	sequence int
	running  int
	waiting  int
	free     chan struct{}
	keys     map[int]hold // by block of keys, see blockSize
	seen     map[int]uint64
	http     *http.Server
	stopBeat chan struct{}
}

// Start begins a new life of the server with a new id.
func (server *Server) Start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server.mutex.Lock()
	server.ID, server.Addr, server.born, server.sequence = newID("i-"), listener.Addr().String(), time.Now().UnixMilli(), 0
	server.running, server.waiting, server.free = 0, 0, make(chan struct{}, server.Slots)
	server.keys, server.seen = map[int]hold{}, map[int]uint64{}
	server.http = &http.Server{Handler: http.HandlerFunc(server.serve), IdleTimeout: 10 * time.Second}
	server.stopBeat = make(chan struct{})
	stop, life, id := server.stopBeat, server.http, server.ID
	server.mutex.Unlock()
	go func() { _ = life.Serve(listener) }()
	go server.beat(stop)
	server.Record.Add("server %s of %s starts at %s", id, server.Service, server.Addr)
}

func (server *Server) beat(stop chan struct{}) {
	ticker := time.NewTicker(server.Heartbeat)
	defer ticker.Stop()
	for {
		server.mutex.Lock()
		if server.stopBeat != stop {
			server.mutex.Unlock()
			return
		}
		server.sequence++
		id, spec := server.ID, map[string]any{
			"addr": server.Addr, "born": server.born,
			"info":   map[string]any{"service": server.Service, "version": "v1", "zone": server.Zone, "max-concurrency": server.Slots},
			"status": map[string]any{"state": "ready", "sequence": server.sequence, "warmup-left-s": 0},
		}
		server.mutex.Unlock()
		server.Store.Put("servers", id, spec)
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// Crash ends the life of the server. Its entry is removed after three check-in intervals.
func (server *Server) Crash() {
	server.mutex.Lock()
	life, id, stop := server.http, server.ID, server.stopBeat
	if stop == nil {
		server.mutex.Unlock()
		return
	}
	server.stopBeat = nil
	server.mutex.Unlock()
	close(stop)
	_ = life.Close()
	time.AfterFunc(3*server.Heartbeat, func() { server.Store.Remove("servers", id) })
	server.Record.Add("server %s of %s has crashed", id, server.Service)
}

// blockSize is the resolution at which a server records the keys that it holds. Grants are
// recorded by the first key of each block, which is exact for the traffic of the cases: their
// keys are multiples of it.
const blockSize = 64

// Holds reports whether the server holds the key now.
func (server *Server) Holds(key int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.stopBeat != nil && time.Now().Before(server.keys[key/blockSize].until)
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	id := server.ID
	server.mutex.Unlock()
	if target := request.Header.Get("Cuminstream-Target-Instance"); target != "" && target != id {
		writer.Header().Set("Cuminstream-Instance-Id", id)
		writer.Header().Set("Cuminstream-Request-Id", request.Header.Get("Cuminstream-Request-Id"))
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/api/grant", "/api/release":
		server.order(writer, request)
		return
	case "/health":
		writer.Header().Set("Cuminstream-Instance-Id", id)
		return
	}
	writer.Header().Set("Cuminstream-Request-Id", request.Header.Get("Cuminstream-Request-Id"))
	reject := func(status int) {
		writer.Header().Set("Cuminstream-Not-Executed", "1")
		writer.WriteHeader(status)
	}
	if server.Sharded {
		key, err := strconv.Atoi(request.Header.Get("Cuminstream-Shard-Key"))
		if err != nil || !server.Holds(key) {
			reject(http.StatusMisdirectedRequest)
			return
		}
	}
	server.mutex.Lock()
	if server.waiting >= 4*server.Slots {
		server.mutex.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	server.waiting++
	free := server.free
	server.mutex.Unlock()
	free <- struct{}{}
	server.mutex.Lock()
	server.waiting--
	server.running++
	writer.Header().Set("Cuminstream-Server-Load", fmt.Sprintf("%d,%d,%d", server.running, server.waiting, server.Slots))
	server.mutex.Unlock()
	defer func() {
		<-free
		server.mutex.Lock()
		server.running--
		server.mutex.Unlock()
	}()
	body, _ := io.ReadAll(request.Body)
	server.Work(server, writer, request, body)
}

// Seal sets the header that only the server's program sets.
func (server *Server) Seal(writer http.ResponseWriter) {
	writer.Header().Set("Cuminstream-Response-Seal", newID(""))
}

func (server *Server) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence uint64  `json:"fence"`
		Hold  float64 `json:"hold-s"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	isGrant := request.URL.Path == "/api/grant"
	first, last := (order.From+blockSize-1)/blockSize, order.To/blockSize
	for block := first; isGrant && block <= last; block++ {
		if server.seen[block] > order.Fence {
			writer.WriteHeader(http.StatusConflict)
			return
		}
	}
	for block := first; block <= last; block++ {
		server.seen[block] = max(server.seen[block], order.Fence)
		if isGrant {
			server.keys[block] = hold{order.Fence, time.Now().Add(time.Duration(order.Hold * float64(time.Second)))}
		} else {
			delete(server.keys, block)
		}
	}
	if !isGrant {
		writer.Header().Set("Cuminstream-Handover", newID(""))
	}
	writer.WriteHeader(http.StatusOK)
}
