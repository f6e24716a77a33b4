package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["second-copy"] = playSecondCopy }

const (
	// greyShare is the share of its requests that a grey server rejects, as in the
	// site's srv_grey (how shed), which lasts for greySpell.
	greyShare = 0.45
	greySpell = 6500 * time.Millisecond
	// doubledShare is the share of its answers that a faulty server sends twice, as in
	// the site's garble (how "extra late"), which lasts for doubledSpell.
	doubledShare = 0.03
	doubledSpell = 5 * time.Second
	// spells is how often both come, and spellGap the time between two.
	spells   = 7
	spellGap = 4 * time.Second
	// labelWork is the work of a label-buy; it is short, so that many come in a minute.
	labelWork = 50 * time.Millisecond
)

// Fault is what a faulty server does.
type Fault struct {
	mutex   sync.Mutex
	grey    bool // it rejects a part of its requests
	doubled bool // it sends a part of its answers twice
}

// copies holds the second copy of the last answer on a connection, until the next
// request arrives there.
type copies struct{ second []byte }

type connKey struct{}

// connContext is http.Server.ConnContext: requests can look up their connection.
func connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &copies{})
}

func (fault *Fault) set(grey, doubled bool) {
	fault.mutex.Lock()
	defer fault.mutex.Unlock()
	fault.grey, fault.doubled = grey, doubled
}

func (fault *Fault) rejects() bool {
	fault.mutex.Lock()
	defer fault.mutex.Unlock()
	return fault.grey && rand.Float64() < greyShare
}

func (fault *Fault) doubles() bool {
	fault.mutex.Lock()
	defer fault.mutex.Unlock()
	return fault.doubled && rand.Float64() < doubledShare
}

// response is an answer as bytes.
func response(status int, header http.Header, body []byte) []byte {
	answer := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	var buffer bytes.Buffer
	_ = answer.Write(&buffer)
	return buffer.Bytes()
}

// serveFaulty handles a request of a server that may reject requests and send answers
// twice. It reports false if the server goes on as usual.
//
// The second copy of an answer is sent when the next request has arrived on the
// connection: "An extra response may arrive late, at the point where the next response is
// expected." Then the server works on this request and answers it.
func (server *Server) serveFaulty(writer http.ResponseWriter, request *http.Request, id string, work func(ctx context.Context) (status int, header http.Header, body []byte)) bool {
	fault := server.Fault
	if fault == nil {
		return false
	}
	state := request.Context().Value(connKey{}).(*copies)
	if second := state.second; second != nil {
		state.second = nil
		conn, buffer, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		server.Record.Linef("server %s: sends the second copy of an earlier answer before it answers %s", server.ID, id)
		if _, err := conn.Write(second); err != nil {
			return true
		}
		for { // the connection stays open, and further requests on it are served in turn
			status, header, body := work(context.Background())
			_, err = conn.Write(response(status, header, body))
			server.Record.Linef("server %s: answered %s with %d, error %v", server.ID, id, status, err)
			if err != nil {
				return true
			}
			next, err := http.ReadRequest(buffer.Reader)
			if err != nil {
				return true
			}
			id = next.Header.Get("Cuminstream-Request-Id")
			work = func(ctx context.Context) (int, http.Header, []byte) { return server.work(ctx, next, id) }
		}
	}
	if !fault.rejects() {
		return false
	}
	header := http.Header{}
	header.Set("Cuminstream-Request-Id", id)
	header.Set("Cuminstream-Not-Executed", "1")
	header.Set("Cuminstream-Server-Load", fmt.Sprintf("%d,%d,%d", server.Running(), 0, server.Slots))
	server.Record.Linef("server %s: rejects %s with 503, not executed", server.ID, id)
	if fault.doubles() {
		server.Record.Linef("server %s: will send this answer to %s twice", server.ID, id)
		state.second = response(http.StatusServiceUnavailable, header.Clone(), nil)
	}
	for name, values := range header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// attempts returns the max-attempts of the route: 2, as in the example of PROTOCOL.md, or
// that of the variable ATTEMPTS.
func attempts() int {
	if count, err := strconv.Atoi(os.Getenv("ATTEMPTS")); err == nil {
		return count
	}
	return 2
}

// playSecondCopy sends unsafe requests with keys. One of eight servers rejects a part of
// them and sends a part of its answers twice. The rule REFUSED is broken if a request
// that has run is answered 503 or 429, and TWICE if one has run more than once.
func playSecondCopy(deployment *Deployment, trouble bool) (string, error) {
	deployment.Configure(7, [][]any{
		{"r-label", "jepu9.example", "/puka111/", "unsafe", 1, 0.5, 0, attempts(), "huvo11a"},
	}, [][]any{{"huvo11a", "/health", 110, true, 5.0}})
	if err := deployment.AddServers("huvo11a", 8, true, 400); err != nil {
		return "", err
	}
	for _, server := range deployment.Servers {
		server.Work = labelWork
	}
	faulty := deployment.Servers[2]
	faulty.Fault = &Fault{}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mutex sync.Mutex
	outcomes := map[string]Outcome{}
	go TrafficKept(ctx, deployment, 100, func() Request {
		return Request{ID: newID(), Method: http.MethodDelete, Host: "jepu9.example", Path: "/puka111/2f", Key: rand.IntN(keyCount), Deadline: 2 * time.Second}
	}, func(request Request, outcome Outcome) {
		mutex.Lock()
		defer mutex.Unlock()
		outcomes[request.ID] = outcome
	})
	time.Sleep(8 * time.Second)
	for range spells {
		if trouble {
			faulty.Fault.set(true, true)
		}
		time.Sleep(doubledSpell)
		faulty.Fault.set(trouble, false)
		time.Sleep(greySpell - doubledSpell)
		faulty.Fault.set(false, false)
		time.Sleep(spellGap)
	}
	stop()
	time.Sleep(3 * time.Second)
	refused, twice := 0, 0
	mutex.Lock()
	defer mutex.Unlock()
	for id, outcome := range outcomes {
		runs := deployment.Runs(id)
		if runs > 1 {
			twice++
			deployment.Record.Linef("judge: %s has run %d times", id, runs)
		}
		if runs > 0 && (outcome.Status == http.StatusServiceUnavailable || outcome.Status == http.StatusTooManyRequests) {
			refused++
			deployment.Record.Linef("judge: %s has run and is answered %d", id, outcome.Status)
		}
	}
	deployment.Record.Sayf("requests: %d; answered 503 or 429 though they have run: %d; run more than once: %d", len(outcomes), refused, twice)
	switch {
	case twice > 0:
		return fmt.Sprintf("TWICE: %d requests that aren't idempotent have run more than once", twice), nil
	case refused > 0:
		return fmt.Sprintf("REFUSED: %d requests that have run are answered 503 or 429", refused), nil
	}
	return "", nil
}
