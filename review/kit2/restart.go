package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// restart: the machine that last wrote to the store under a condition is cut off from the
// store and the other machines, while clients and servers still reach it. Meanwhile a server
// of the service that is divided by key is drained, ends, and starts again under its id.
func restart(repository, temporary string) {
	const (
		cutFor   = 5500 * time.Millisecond
		since    = time.Second // from the cut to the server's report
		drain    = 2 * time.Second
		downtime = 500 * time.Millisecond
	)
	store := newStore()
	network := newNetwork(store)
	putConfig(store, 3, []route{{"reads", "/reads/", "safe", "catalogue", 1, .3, 1, 2}}, map[string]bool{"catalogue": true})
	judge := newJudge()
	var servers []*server
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		started := startServer(store, fmt.Sprintf("i-%d", i+1), "catalogue", zone, 3, true)
		started.Work = func(*http.Request) time.Duration { return 10 * time.Millisecond }
		started.Judge = judge
		servers = append(servers, started)
	}
	var vms []*vm
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		name := "edge-" + zone + "-1"
		vms = append(vms, startVM(repository, temporary, network.storeAddress(name), name, zone, lochside, true))
	}
	awaitReady(vms, 20*time.Second)
	var stopped atomic.Bool
	var group sync.WaitGroup
	counts := [3]map[int]int{}
	for i := range vms {
		counts[i] = map[int]int{}
		group.Go(func() {
			for !stopped.Load() {
				key := rand.IntN(keyCount)
				got := send(vms[i].Front, request{method: http.MethodGet, path: "/reads/2f", host: host, headers: []string{fmt.Sprintf("Cuminstream-Shard-Key: %d", key)}, limit: 2 * time.Second})
				counts[i][got.status]++
				ran := "run by nobody"
				for _, run := range runsOf(servers, got.id) {
					ran = "run by " + run.server
				}
				record("%s key %d sent to %s, %s, answered %d", got.id, key, vms[i].Name, ran, got.status)
				time.Sleep(15 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	leader := leaderOf(store, "catalogue")
	record("%s has written the ledger last", leader)
	if trouble() {
		network.cutOff(leader, true)
		record("%s is cut off from the store and from the other machines", leader)
	}
	time.Sleep(since)
	record("i-1 reports that it is draining")
	servers[0].drain()
	time.Sleep(drain + 300*time.Millisecond)
	servers[0].end()
	record("i-1 has ended")
	time.Sleep(downtime)
	servers[0].startAgain()
	record("i-1 has started again, and holds nothing")
	time.Sleep(cutFor - since - drain - 300*time.Millisecond - downtime)
	network.cutOff(leader, false)
	record("%s reaches the store and the other machines again", leader)
	time.Sleep(3 * time.Second)
	stopped.Store(true)
	group.Wait()
	for i, vm := range vms {
		record("answers of %s by status: %v", vm.Name, counts[i])
	}
	verdict(judge.lowFences > 0 || judge.bothBegan() > 0, "%d grants taken with a fencing token that is not above those of other servers; %d pairs of servers held the same keys and both began requests on them", judge.lowFences, judge.bothBegan())
}

// leaderOf returns the machine that has written the claim of the service.
func leaderOf(store *store, service string) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var claim struct {
		Broker string `json:"broker"`
	}
	_ = json.Unmarshal(store.kinds["cuminstream-brokers"][service].Spec, &claim)
	if claim.Broker == "" {
		fail("no machine leads")
	}
	return claim.Broker
}
