package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// poison: a request crashes each server that begins to run it, and its caller sends it again.
func poison(repository, temporary string) {
	const (
		length       = 60 * time.Second
		backAfter    = 3 * time.Second
		stableWindow = 3 * time.Second // stable-window-s
		limit        = 2500 * time.Millisecond
		path         = "/orders/77"
		maxRetries   = 3
	)
	store := newStore()
	putConfig(store, 3, []route{{"orders", "/orders/", "unsafe", "dispatch", 1.2, .4, 1, 2}}, map[string]bool{"dispatch": false})
	var mutex sync.Mutex // guards the following
	var servers []*server
	var arrivals, crashes []time.Time
	var begin func(id, zone string)
	lives := 0
	begin = func(id, zone string) {
		started := startServer(store, id, "dispatch", zone, 3, false)
		started.Work = func(request *http.Request) time.Duration {
			if request.URL.Path != path {
				return 120 * time.Millisecond
			}
			mutex.Lock()
			defer mutex.Unlock()
			arrivals = append(arrivals, time.Now())
			record("the request reaches %s for the %d. time", id, len(arrivals))
			if trouble() {
				crashes = append(crashes, time.Now())
				lives++
				next := fmt.Sprintf("i-%d", lives)
				started.crash()
				time.AfterFunc(backAfter, func() { begin(next, zone) })
			}
			return 120 * time.Millisecond
		}
		servers = append(servers, started)
	}
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"} {
		lives++
		begin(fmt.Sprintf("i-%d", lives), zone)
	}
	vms := small(repository, temporary, store, lochside)
	awaitReady(vms, 15*time.Second)
	time.Sleep(3 * time.Second)
	var stopped atomic.Bool
	var group sync.WaitGroup
	var answersMutex sync.Mutex
	statuses := map[int]int{}
	for client := range 9 { // ordinary bookings
		group.Go(func() {
			for number := 0; !stopped.Load(); number++ {
				got := send(vms[client%3].Front, request{method: http.MethodPost, path: fmt.Sprintf("/orders/%d-%d", client, number), host: host, body: "x", limit: limit})
				answersMutex.Lock()
				statuses[got.status]++
				answersMutex.Unlock()
				if got.status != http.StatusOK {
					record("booking %s at %s: answered %d, error %v", got.id, vms[client%3].Name, got.status, got.err)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		got := send(vms[number%3].Front, request{method: http.MethodPost, path: path, host: host, body: "order 77", limit: limit})
		record("%s (the request that crashes servers) at %s: answered %d, Retry-After %q, error %v", got.id, vms[number%3].Name, got.status, got.header("Retry-After"), got.err)
		time.Sleep(time.Second)
	}
	stopped.Store(true)
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for _, arrived := range arrivals {
		if len(crashes) >= 3 && arrived.After(crashes[2].Add(stableWindow)) {
			late++
		}
	}
	record("answers to ordinary bookings by status (0: none): %v", statuses)
	verdict(late > maxRetries, "the request has crashed %d servers; %d retries reached servers later than %v after the third crash (at most %d are allowed)", len(crashes), late, stableWindow, maxRetries)
}
