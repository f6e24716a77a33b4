package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restored replaces each machine once, as planned work. Then comes the final fault: all
// processes are killed, while the store is away for a moment and comes back from a copy some
// seconds old. The rule RECOVER asks for a quarter of the requests later than recovery-s after
// the machines are back.
func restored(lab *lab) bool {
	const (
		grace     = 6 * time.Second
		copyAge   = 4 * time.Second
		awayFor   = time.Second
		downFor   = 1500 * time.Millisecond
		recovery  = 15 * time.Second
		observed  = 30 * time.Second
		perSecond = 20
	)
	record, store := lab.record, lab.store
	work := func(server *Server, writer http.ResponseWriter, _ *http.Request, _ []byte) {
		time.Sleep(30 * time.Millisecond)
		server.Seal(writer)
		_, _ = writer.Write([]byte("quote"))
	}
	for index := range 6 {
		server := &Server{Store: store, Record: record, Service: "quote", Zone: "z" + strconv.Itoa(index%3), Slots: 2, Sharded: true, Heartbeat: 870 * time.Millisecond, Work: work}
		server.Start()
		defer server.Crash()
	}
	store.Put("config", "main", config(3,
		[][]any{{"quote", "shop.example", "/quote/", "safe", 2.5, 0.6, 1, nil, 2, "quote"}},
		[][]any{{"quote", "/health", 110, "h1", false, true, 5.0, "invocation"}}))
	var mutex sync.Mutex
	var running []*Edge
	machines := func() []*Edge {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]*Edge(nil), running...)
	}
	for index := range 3 {
		edge := lab.add(fmt.Sprintf("edge-z%d-1", index), fmt.Sprintf("z%d", index))
		edge.Start(true)
		running = append(running, edge)
	}
	lab.awaitReady(machines(), 20*time.Second)
	balancer := lab.newBalancer(machines)
	defer close(balancer.stop)
	time.Sleep(4 * time.Second)

	var phase atomic.Pointer[string]
	counts := map[string][2]int{} // served and all, by phase
	enter := func(name string) { phase.Store(&name); record.Say("phase: %s", name) }
	enter("before")
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			name, machine := *phase.Load(), balancer.pick()
			group.Go(func() {
				key := number * 1337 % 1024 * blockSize
				answer := call{http.MethodGet, "shop.example", "/quote/x", nil, key, 2500 * time.Millisecond}.send(machine)
				ok := answer.status == http.StatusOK && answer.sealed
				mutex.Lock()
				count := counts[name]
				count[1]++
				if ok {
					count[0]++
				}
				counts[name] = count
				mutex.Unlock()
				record.Add("quote %s for key %d via %s: status %d, Retry-After %q, %v", answer.id, key, machine.Name, answer.status, answer.retryAfter, answer.err)
			})
		}
	})
	for index := range 3 {
		if os.Getenv("REPLACE") == "0" {
			break // to show what the replaced machines contribute
		}
		former := machines()[0]
		added := lab.add(fmt.Sprintf("edge-z%d-2", index), former.Zone)
		added.Start(false)
		lab.awaitReady([]*Edge{added}, 15*time.Second)
		mutex.Lock()
		running = append(running[1:], added)
		mutex.Unlock()
		time.Sleep(time.Second)
		record.Say("%s is taken away for good", former.Name)
		former.Stop(grace)
	}
	time.Sleep(3 * time.Second)
	copied := store.Copy()
	time.Sleep(copyAge)
	enter("fault")
	if lab.trouble {
		record.Say("the store is away")
		store.SetDown(true)
	}
	for _, edge := range machines() {
		edge.Signal(syscall.SIGKILL)
	}
	time.Sleep(awayFor)
	if lab.trouble {
		store.Restore(copied)
		store.SetDown(false)
		record.Say("the store is back from a copy that is %v old, in the next era", copyAge+awayFor)
	}
	time.Sleep(downFor - awayFor)
	for _, edge := range machines() {
		edge.Start(false)
	}
	back := time.Now()
	record.Say("the machines are back")
	time.Sleep(time.Until(back.Add(recovery)))
	enter("after")
	time.Sleep(observed)
	enter("end")
	close(stop)
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	share := func(name string) float64 { return float64(counts[name][0]) / float64(max(counts[name][1], 1)) }
	record.Say("served before the final fault: %d of %d; later than %v after the machines were back: %d of %d",
		counts["before"][0], counts["before"][1], recovery, counts["after"][0], counts["after"][1])
	if share("before") < 0.25 {
		panic(unable{fmt.Errorf("less than a quarter was served before the final fault")})
	}
	return share("after") >= 0.25
}
