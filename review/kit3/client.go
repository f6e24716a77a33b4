package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id         string
	status     int // 0 if the connection ended without an answer
	sealed     bool
	retryAfter string
	err        error
}

// client sends each attempt on a new connection.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call is one attempt of a request.
type call struct {
	method, host, path string
	body               []byte
	key                int // -1 for none
	limit              time.Duration
}

// send sends the attempt to the machine and waits for its answer until the time limit.
func (call call) send(edge *Edge) answer {
	ctx, cancel := context.WithTimeout(context.Background(), call.limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+edge.Front+call.path, bytes.NewReader(call.body))
	must(err)
	answered := answer{id: newID("")}
	request.Host = call.host
	request.Header.Set("Cuminstream-Request-Id", answered.id)
	request.Header.Set("Cuminstream-Deadline-Ms", strconv.Itoa(int(call.limit.Milliseconds())))
	if call.key >= 0 {
		request.Header.Set("Cuminstream-Shard-Key", strconv.Itoa(call.key))
	}
	response, err := client.Do(request)
	if err != nil {
		answered.err = err
		return answered
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		answered.err = err
		return answered
	}
	answered.status, answered.sealed, answered.retryAfter = response.StatusCode, response.Header.Get("Cuminstream-Response-Seal") != "", response.Header.Get("Retry-After")
	return answered
}

// balancer is the platform's ingress: it knows which machines are in rotation.
type balancer struct {
	fleet *fleet
	next  atomic.Uint64
	ready atomic.Pointer[[]*Edge]
	stop  chan struct{}
}

// newBalancer asks each machine once a second whether it is ready.
func (fleet *fleet) newBalancer(machines func() []*Edge) *balancer {
	balancer := &balancer{fleet: fleet, stop: make(chan struct{})}
	empty := []*Edge{}
	balancer.ready.Store(&empty)
	misses := map[*Edge]int{}
	go func() {
		for {
			var ready []*Edge
			list := machines()
			for _, edge := range list {
				if edge.IsReady() {
					misses[edge] = 0
				} else {
					misses[edge]++
				}
				if misses[edge] < 2 {
					ready = append(ready, edge)
				}
			}
			if len(ready) == 0 {
				ready = list
			}
			balancer.ready.Store(&ready)
			select {
			case <-balancer.stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return balancer
}

// pick returns a machine in rotation, or nil.
func (balancer *balancer) pick() *Edge {
	ready := *balancer.ready.Load()
	if len(ready) == 0 {
		return nil
	}
	return ready[balancer.next.Add(1)%uint64(len(ready))]
}

// config returns a configuration with the given rows.
func config(version int, routes, services [][]any) map[string]any {
	return map[string]any{
		"version": "r" + strconv.Itoa(version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "traffic-split", "max-attempts", "service"}, "rows": routes,
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-conns", "protocol", "tls", "sharded", "warm-s", "grants"}, "rows": services,
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}
