package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(repository, temporary string){
	"field":   field,
	"version": version,
	"stop":    stop,
	"restart": restart,
	"poison":  poison,
}

// route is a row of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64
	priority, attempts          int
}

const host = "hulo84.example"

func putConfig(store *store, version int, routes []route, services map[string]bool) {
	rows, serviceRows := [][]any{}, [][]any{}
	for _, route := range routes {
		rows = append(rows, []any{route.name, host, route.prefix, route.kind, route.timeout, route.target, route.priority, nil, route.attempts, route.service})
	}
	for name, sharded := range services {
		serviceRows = append(serviceRows, []any{name, "/health", 49, "h1", false, sharded, nil, nil})
	}
	store.put("config", "main", map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "traffic-split", "max-attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "protocol", "tls", "sharded", "warm-s", "grants"}, "rows": serviceRows},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	})
}

// small starts a small deployment: three machines in three zones.
func small(repository, temporary string, store *store, terms terms) []*vm {
	var vms []*vm
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		vms = append(vms, startVM(repository, temporary, store.Address, "edge-"+zone+"-1", zone, terms, true))
	}
	return vms
}

// lochside are the bounds of sites/lochside-gw.toml.
var lochside = terms{GraceS: 6, DrainS: 2, ConfigS: 2}

// garbleEvery spoils one answer in fifty of a server: x = 0.02, the dose that the bench's
// page of kinds names for garble; its share of the servers is a half.
const garbleEvery = 50

// garbleCase sends bookings to a small deployment with four servers, of which two spoil one
// byte in the head of one answer in fifty, and returns what the clients got.
func garbleCase(repository, temporary string, spoil func(server *server)) (answers []answer, servers []*server) {
	const bookings, clients = 1200, 8
	store := newStore()
	putConfig(store, 3, []route{{"orders", "/orders/", "unsafe", "dispatch", 1.2, .4, 1, 2}}, map[string]bool{"dispatch": false})
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		started := startServer(store, fmt.Sprintf("i-%d", i+1), "dispatch", zone, 3, false)
		started.Work = func(*http.Request) time.Duration { return 25 * time.Millisecond }
		servers = append(servers, started)
	}
	spoil(servers[1])
	spoil(servers[3])
	vms := small(repository, temporary, store, lochside)
	awaitReady(vms, 15*time.Second)
	time.Sleep(3 * time.Second)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for range bookings / clients {
				got := send(vms[client%3].Front, request{method: http.MethodPost, path: "/orders/2f", host: host, body: "x", limit: 2500 * time.Millisecond})
				mutex.Lock()
				answers = append(answers, got)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return answers, servers
}

// describe records an answer and the runs of its request.
func describe(got answer, servers []*server) {
	where := "run by nobody"
	for _, run := range runsOf(servers, got.id) {
		where = "run by " + run.server
	}
	record("%s sent, %s, answered %d, error %v, body %q, bytes that are no header field: %q", got.id, where, got.status, got.err, got.body, got.badBytes)
}

// field: a server spoils one byte in the head of an answer, so that a line of it is no header
// field. The client must not get bytes that are no answer.
func field(repository, temporary string) {
	answers, servers := garbleCase(repository, temporary, func(server *server) {
		if !trouble() {
			return
		}
		count := 0
		server.Spoil = func(answer string) string {
			if count++; count%garbleEvery != 0 {
				return answer
			}
			return strings.Replace(answer, "Keep-Alive:", "Keep Alive:", 1)
		}
	})
	broken := 0
	for _, got := range answers {
		describe(got, servers)
		if got.badBytes != "" {
			broken++
		}
	}
	verdict(broken > 0, "%d of %d answers of the system have a line in their head that is no header field", broken, len(answers))
}

// version: a server that closes the connection after a chunked answer spoils one byte of its
// status line, so that it names HTTP/1.0, which has no chunked encoding. The client must not
// get the bytes of the chunks as the body of a complete success.
func version(repository, temporary string) {
	answers, servers := garbleCase(repository, temporary, func(server *server) {
		count := 0
		server.Chunked = true
		server.ExtraHead = func(*http.Request) string {
			if count++; count%garbleEvery != 0 {
				return ""
			}
			return "Connection: close\r\n"
		}
		server.Spoil = func(answer string) string {
			if !trouble() || !strings.Contains(answer, "Connection: close") {
				return answer
			}
			return strings.Replace(answer, "HTTP/1.1", "HTTP/1.0", 1)
		}
	})
	broken := 0
	for _, got := range answers {
		describe(got, servers)
		if got.status == http.StatusOK && got.header("Cuminstream-Response-Seal") != "" && got.body != "answer to "+got.id {
			broken++
		}
	}
	verdict(broken > 0, "%d of %d bookings got a success with the server's seal and a body that the server did not send", broken, len(answers))
}
