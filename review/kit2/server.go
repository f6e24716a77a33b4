package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server has begun to work on.
type run struct {
	id, server   string
	begun, ended time.Time
}

// server is a stand-in for one of the users' servers. It registers itself in the store and
// checks in, echoes request IDs, seals its answers, accepts grants of keys and refuses
// requests for keys that it does not hold or that are meant for another server.
type server struct {
	ID, Service, Zone, Address string
	Slots                      int
	Sharded                    bool
	Born                       int64
	// Work is how long a request takes.
	Work func(request *http.Request) time.Duration
	// ExtraHead returns further header lines of an answer to a request that has run.
	ExtraHead func(request *http.Request) string
	// Chunked makes it send the bodies of these answers in chunks.
	Chunked bool
	// Judge, if set, sees what the server holds and begins.
	Judge *judge
	// Spoil, if set, changes the bytes of such an answer.
	Spoil func(answer string) string

	store    *store
	mutex    sync.Mutex
	cond     *sync.Cond
	busy     int
	waiting  int
	runs     []run
	holds    []hold
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	gone     chan struct{}
}

type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

const queueLength = 12

func startServer(store *store, id, service, zone string, slots int, sharded bool) *server {
	listener := listen()
	created := &server{
		ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, Sharded: sharded, store: store,
	}
	created.cond = sync.NewCond(&created.mutex)
	created.begin(listener)
	return created
}

// begin begins a life of the server, which holds and knows nothing of before.
func (server *server) begin(listener net.Listener) {
	server.mutex.Lock()
	server.Born, server.sequence, server.holds, server.state = time.Now().UnixMilli(), 0, nil, "ready"
	server.listener, server.conns, server.gone = listener, map[net.Conn]bool{}, make(chan struct{})
	gone := server.gone
	server.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.mutex.Lock()
			server.conns[conn] = true
			server.mutex.Unlock()
			go server.serve(conn)
		}
	}()
	server.checkIn()
	go func() {
		for {
			select {
			case <-gone:
				return
			case <-time.After(checkInInterval):
				server.checkIn()
			}
		}
	}()
}

// checkInInterval is heartbeat-s.
const checkInInterval = 1500 * time.Millisecond

// checkIn writes the server's entry.
func (server *server) checkIn() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	select {
	case <-server.gone:
		return
	default:
	}
	server.sequence++
	server.store.put("servers", server.ID, map[string]any{
		"addr": server.Address, "born": server.Born, "info": map[string]any{"service": server.Service, "version": "v1", "zone": server.Zone, "max-concurrency": server.Slots},
		"status": map[string]any{"state": server.state, "sequence": server.sequence, "warmup-left-s": 0},
	})
}

// drain reports that the server is about to leave.
func (server *server) drain() {
	server.mutex.Lock()
	server.state = "draining"
	server.mutex.Unlock()
	server.checkIn()
}

// end ends the life of the server, and removes its entry, as after a planned shutdown.
func (server *server) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	close(server.gone)
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.holds = nil
	if server.Judge != nil {
		server.Judge.ended(server.ID)
	}
	server.store.remove("servers", server.ID)
}

// crash ends the server without a word: its connections are reset, and its entry stays until
// three check-ins are missing.
func (server *server) crash() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	close(server.gone)
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.AfterFunc(3*checkInInterval, func() { server.store.remove("servers", server.ID) })
}

// startAgain starts the server again under the id and at the address that it had.
func (server *server) startAgain() {
	listener, err := net.Listen("tcp", server.Address)
	if err != nil {
		fail("start %s again: %v", server.ID, err)
	}
	server.begin(listener)
}

func (server *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var answer []byte
		switch {
		case request.Header.Get("Cuminstream-Target-Instance") != "" && request.Header.Get("Cuminstream-Target-Instance") != server.ID:
			answer = server.answer(request, 421, "Cuminstream-Instance-Id: "+server.ID+"\r\nCuminstream-Not-Executed: 1\r\n", nil)
		case request.URL.Path == "/api/grant" || request.URL.Path == "/api/release":
			answer = server.order(request, body)
		case request.URL.Path == "/health":
			answer = server.answer(request, 200, "Cuminstream-Instance-Id: "+server.ID+"\r\n", nil)
		default:
			answer = server.work(request)
		}
		if _, err := conn.Write(answer); err != nil || bytes.Contains(answer, []byte("Connection: close")) {
			return
		}
	}
}

// answer returns the bytes of an answer.
func (server *server) answer(request *http.Request, status int, head string, body []byte) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\nKeep-Alive: timeout=15\r\n", status, http.StatusText(status))
	if id := request.Header.Get("Cuminstream-Request-Id"); id != "" {
		fmt.Fprintf(&buffer, "Cuminstream-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&buffer, "%sContent-Length: %d\r\n\r\n", head, len(body))
	buffer.Write(body)
	return buffer.Bytes()
}

func (server *server) order(request *http.Request, body []byte) []byte {
	var order struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence uint64  `json:"fence"`
		Hold  float64 `json:"hold-s"`
	}
	if json.Unmarshal(body, &order) != nil {
		return server.answer(request, 400, "", nil)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	kept := []hold{}
	for _, held := range server.holds {
		overlaps := held.from <= order.To && held.to >= order.From
		if overlaps && held.fence > order.Fence && request.URL.Path == "/api/grant" {
			return server.answer(request, 409, "", nil)
		}
		if !overlaps {
			kept = append(kept, held)
			continue
		}
		if held.from < order.From {
			kept = append(kept, hold{held.from, order.From - 1, held.fence, held.until})
		}
		if held.to > order.To {
			kept = append(kept, hold{order.To + 1, held.to, held.fence, held.until})
		}
	}
	until := time.Time{} // a released range keeps its fencing token
	if request.URL.Path == "/api/grant" {
		until = time.Now().Add(time.Duration(order.Hold * float64(time.Second)))
	}
	server.holds = append(kept, hold{order.From, order.To, order.Fence, until})
	if server.Judge != nil {
		server.Judge.held(server.ID, server.holds, order.From, order.To, order.Fence, !until.IsZero())
	}
	return server.answer(request, 200, "", nil)
}

// fenceOf returns the fencing token with which the server holds the key. The mutex is held.
func (server *server) fenceOf(key int) (fence uint64, holds bool) {
	for _, held := range server.holds {
		if held.from <= key && key <= held.to && time.Now().Before(held.until) {
			return held.fence, true
		}
	}
	return 0, false
}

// work runs the request, or refuses it.
func (server *server) work(request *http.Request) []byte {
	id := request.Header.Get("Cuminstream-Request-Id")
	if id == "" {
		return server.answer(request, 400, "Cuminstream-Not-Executed: 1\r\n", nil)
	}
	key, _ := strconv.Atoi(request.Header.Get("Cuminstream-Shard-Key"))
	server.mutex.Lock()
	if server.Sharded {
		if _, holds := server.fenceOf(key); !holds {
			server.mutex.Unlock()
			return server.answer(request, 421, "Cuminstream-Not-Executed: 1\r\nCuminstream-Instance-Id: "+server.ID+"\r\n", nil)
		}
	}
	if server.busy >= server.Slots && server.waiting >= queueLength {
		server.mutex.Unlock()
		return server.answer(request, 503, "Cuminstream-Not-Executed: 1\r\n", nil)
	}
	server.waiting++
	for server.busy >= server.Slots {
		server.cond.Wait()
	}
	server.waiting--
	if _, holds := server.fenceOf(key); server.Sharded && !holds {
		server.mutex.Unlock()
		return server.answer(request, 421, "Cuminstream-Not-Executed: 1\r\nCuminstream-Instance-Id: "+server.ID+"\r\n", nil)
	}
	server.busy++
	index := len(server.runs)
	server.runs = append(server.runs, run{id: id, server: server.ID, begun: time.Now()})
	if server.Judge != nil {
		server.Judge.begun(server.ID, id, key)
	}
	load := fmt.Sprintf("Cuminstream-Server-Load: %d,%d,%d\r\n", server.busy, server.waiting, server.Slots)
	server.mutex.Unlock()
	if server.Work != nil {
		time.Sleep(server.Work(request))
	}
	server.mutex.Lock()
	server.runs[index].ended = time.Now()
	server.busy--
	server.cond.Broadcast()
	server.mutex.Unlock()
	body := []byte("answer to " + id)
	head := load + fmt.Sprintf("Cuminstream-Response-Seal: %x.%s\r\n", len(body), id)
	if server.ExtraHead != nil {
		server.mutex.Lock()
		head += server.ExtraHead(request)
		server.mutex.Unlock()
	}
	answer := string(server.answer(request, 200, head, body))
	if server.Chunked {
		answer = strings.Replace(answer, fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Transfer-Encoding: chunked\r\n", 1)
		answer = strings.Replace(answer, "\r\n\r\n"+string(body), fmt.Sprintf("\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.Spoil != nil {
		answer = server.Spoil(answer)
	}
	return []byte(answer)
}

// runsOf returns the runs of a request at the servers.
func runsOf(servers []*server, id string) (found []run) {
	for _, server := range servers {
		server.mutex.Lock()
		for _, run := range server.runs {
			if run.id == id {
				found = append(found, run)
			}
		}
		server.mutex.Unlock()
	}
	return found
}
