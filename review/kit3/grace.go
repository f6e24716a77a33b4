package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// shorterGrace changes grace-s in the settings of a running machine, with SIGHUP, and later
// stops that machine: SIGTERM, and SIGKILL after the grace-s of its settings. The rule LOST
// allows no request that the process has read to end without an answer.
func shorterGrace(lab *lab) bool {
	const (
		before      = 10 * time.Second // grace-s at the start
		after       = 6 * time.Second  // grace-s since the change
		uploads     = 32
		uploadAfter = 2300 * time.Millisecond // the SIGTERM
		runs        = time.Second
		limit       = 8 * time.Second
		slack       = 200 * time.Millisecond // loss-slack-s
	)
	record, store := lab.record, lab.store
	var mutex sync.Mutex
	began, ended := map[string]time.Time{}, map[string]time.Time{}
	work := func(server *Server, writer http.ResponseWriter, request *http.Request, body []byte) {
		id := request.Header.Get("Cuminstream-Request-Id")
		mutex.Lock()
		began[id] = time.Now()
		mutex.Unlock()
		record.Add("server %s runs %s, %d bytes", server.ID, id, len(body))
		if len(body) > 0 {
			time.Sleep(runs)
		}
		mutex.Lock()
		ended[id] = time.Now()
		mutex.Unlock()
		server.Seal(writer)
		_, _ = writer.Write([]byte("stored"))
	}
	for index := range 2 {
		server := &Server{Store: store, Record: record, Service: "manifest", Zone: "z" + strconv.Itoa(index), Slots: 2, Heartbeat: 870 * time.Millisecond, Work: work}
		server.Start()
		defer server.Crash()
	}
	store.Put("config", "main", config(3,
		[][]any{{"manifest", "shop.example", "/manifest/", "upload", limit.Seconds(), 4.0, 2, nil, 1, "manifest"}},
		[][]any{{"manifest", "/health", 110, "h1", false, nil, nil, nil}}))
	withGrace := func(grace time.Duration) string {
		return strings.Replace(defaultParams, "grace-s = 6", fmt.Sprintf("grace-s = %g", grace.Seconds()), 1)
	}
	lab.params = withGrace(before)
	if !lab.trouble {
		lab.params = withGrace(after)
	}
	for index := range 3 {
		lab.add(fmt.Sprintf("edge-z%d-1", index), fmt.Sprintf("z%d", index)).Start(true)
	}
	lab.awaitReady(lab.edges, 20*time.Second)
	time.Sleep(4 * time.Second)
	machine := lab.edges[0]

	type caller struct {
		client *http.Client
		id     string
	}
	send := func(caller *caller, body []byte) (status int, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+machine.Front+"/manifest/1", bytes.NewReader(body))
		must(err)
		request.GetBody = nil // the transport must not repeat it
		request.Host = "shop.example"
		mutex.Lock()
		caller.id = newID("")
		request.Header.Set("Cuminstream-Request-Id", caller.id)
		mutex.Unlock()
		request.Header.Set("Cuminstream-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
		response, err := caller.client.Do(request)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		if _, err := new(bytes.Buffer).ReadFrom(response.Body); err != nil {
			return 0, err
		}
		return response.StatusCode, nil
	}
	var callers []*caller
	for range uploads { // opens the connections
		caller := &caller{client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
		if status, err := send(caller, nil); err != nil || status != http.StatusOK {
			panic(unable{fmt.Errorf("a first request got status %d: %v", status, err)})
		}
		callers = append(callers, caller)
	}
	if lab.trouble {
		machine.settings = strings.Replace(machine.settings, fmt.Sprintf("grace-s = %g\n", before.Seconds()), fmt.Sprintf("grace-s = %g\n", after.Seconds()), 1)
		machine.WriteSettings(false)
		machine.Signal(syscall.SIGHUP)
		record.Say("grace-s of %s is %v now, it was %v", machine.Name, after, before)
	}
	time.Sleep(4 * time.Second)
	stopped := time.Now()
	machine.Signal(syscall.SIGTERM)
	killed := time.AfterFunc(after, func() { machine.Signal(syscall.SIGKILL) })
	time.Sleep(uploadAfter)
	var group sync.WaitGroup
	answered, lost, excused := map[int]int{}, 0, 0
	body := bytes.Repeat([]byte("m"), 60_000)
	for _, caller := range callers {
		group.Go(func() {
			sent := time.Now()
			status, err := send(caller, body)
			closed := time.Now()
			mutex.Lock()
			defer mutex.Unlock()
			start, ran := began[caller.id]
			end, done := ended[caller.id]
			// A server that was still at work in the last sixth of grace-s excuses the loss.
			atWork := ran && (!done || end.After(stopped.Add(after*5/6))) && start.Before(stopped.Add(after))
			switch {
			case err == nil:
				answered[status]++
				record.Add("upload %s: status %d after %.2f s", caller.id, status, closed.Sub(sent).Seconds())
			case atWork, closed.Sub(sent) >= limit:
				excused++
				record.Add("upload %s: no answer, its server was at work at the end: %v", caller.id, err)
			case ran || closed.Sub(sent) > slack:
				lost++
				record.Say("upload %s: no answer %.2f s after it was sent, ran %v, %.2f s after the SIGTERM: %v", caller.id, closed.Sub(sent).Seconds(), ran, closed.Sub(stopped).Seconds(), err)
			default:
				excused++
				record.Add("upload %s: not read: %v", caller.id, err)
			}
		})
	}
	group.Wait()
	<-machine.ended
	killed.Stop()
	record.Say("uploads: answered by status %v, %d lost, %d without an answer that the rule excuses", answered, lost, excused)
	if len(answered) == 0 {
		panic(unable{fmt.Errorf("no upload was answered")})
	}
	return lost == 0
}
