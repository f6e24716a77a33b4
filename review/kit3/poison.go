package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// poison sends, beside usual traffic, a request that crashes each server that begins to run
// it, again and again, at all machines in turn. The rule BUDGET allows three retries later
// than stable-window-s after it has crashed the third server.
func poison(lab *lab) bool {
	const (
		serverCount  = 9
		backAfter    = 4 * time.Second
		poisonEvery  = 2500 * time.Millisecond
		length       = 100 * time.Second
		stableWindow = 3 * time.Second
		maxRetries   = 3
	)
	record, store := lab.record, lab.store
	var mutex sync.Mutex
	var runs []time.Time // of the request that crashes servers
	crashes := 0
	atWork := map[string]bool{} // other requests that servers are at work on
	work := func(server *Server, writer http.ResponseWriter, request *http.Request, _ []byte) {
		id := request.Header.Get("Cuminstream-Request-Id")
		if request.URL.Path == "/book/poison" {
			mutex.Lock()
			runs = append(runs, time.Now())
			count := len(runs)
			mutex.Unlock()
			record.Add("server %s runs the poison request %s, run %d", server.ID, id, count)
			time.Sleep(50 * time.Millisecond)
			if lab.trouble {
				mutex.Lock()
				crashes++
				mutex.Unlock()
				server.Crash()
				time.AfterFunc(backAfter, server.Start)
				return
			}
		} else {
			mutex.Lock()
			atWork[id] = true
			mutex.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
		server.Seal(writer)
		_, _ = writer.Write([]byte("booked"))
	}
	for index := range serverCount {
		server := &Server{Store: store, Record: record, Service: "booking", Zone: "z" + strconv.Itoa(index%3), Slots: 2, Heartbeat: 870 * time.Millisecond, Work: work}
		server.Start()
		defer server.Crash()
	}
	store.Put("config", "main", config(3,
		[][]any{{"book", "shop.example", "/book/", "unsafe", 3.0, 0.8, 1, nil, 2, "booking"}},
		[][]any{{"booking", "/health", 110, "h1", false, nil, nil, nil}}))
	for index := range 3 {
		lab.add(fmt.Sprintf("edge-z%d-1", index), fmt.Sprintf("z%d", index)).Start(true)
	}
	lab.awaitReady(lab.edges, 20*time.Second)
	machines := lab.newBalancer(func() []*Edge { return lab.edges })
	defer close(machines.stop)
	time.Sleep(3 * time.Second)

	var group sync.WaitGroup
	end := time.Now().Add(length)
	lost, served, other := 0, 0, 0
	for caller := range 45 {
		group.Go(func() {
			time.Sleep(time.Duration(caller) * 17 * time.Millisecond)
			for time.Now().Before(end) {
				machine := machines.pick()
				answer := call{http.MethodPost, "shop.example", "/book/order", []byte("order"), -1, 3 * time.Second}.send(machine)
				mutex.Lock()
				ran := atWork[answer.id]
				switch {
				case answer.status == http.StatusOK && answer.sealed:
					served++
				case ran:
					lost++
					record.Add("order %s via %s was at work at a server and got no answer of it: status %d, %v", answer.id, machine.Name, answer.status, answer.err)
				default:
					other++
				}
				mutex.Unlock()
				time.Sleep(600 * time.Millisecond)
			}
		})
	}
	attempts := 0
	for time.Now().Before(end) {
		machine := machines.pick()
		attempts++
		answer := call{http.MethodPost, "shop.example", "/book/poison", []byte("the same body"), -1, 3 * time.Second}.send(machine)
		record.Add("poison request %s via %s: status %d, Retry-After %q, %v", answer.id, machine.Name, answer.status, answer.retryAfter, answer.err)
		time.Sleep(poisonEvery)
	}
	group.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	record.Say("orders: %d served, %d at work at a server and not answered by it, %d others not served", served, lost, other)
	record.Say("poison request: %d attempts of its client, %d runs, %d servers crashed", attempts, len(runs), crashes)
	if crashes < 3 {
		return true
	}
	late := 0
	for _, run := range runs[3:] {
		if run.Sub(runs[2]) > stableWindow {
			late++
			record.Say("retry %.1f s after the third crash", run.Sub(runs[2]).Seconds())
		}
	}
	record.Say("%d retries later than %v after the third crash; %d are allowed", late, stableWindow, maxRetries)
	return late <= maxRetries
}
