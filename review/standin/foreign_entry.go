package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["foreign-entry"] = playForeignEntry }

// Overlap is a span of time in which two servers that are up hold the same key.
type Overlap struct {
	Key    int
	A, B   string
	Lasted time.Duration
}

// watchHolds looks for keys that two servers hold at the same time, until ctx is done.
func watchHolds(ctx context.Context, deployment *Deployment, servers []*Server) []Overlap {
	type pair struct {
		key  int
		a, b string
	}
	began := map[pair]time.Time{}
	longest := map[pair]time.Duration{}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		now := time.Now()
		for key := 0; key < keyCount; key += 64 {
			var holders []*Server
			for _, server := range servers {
				if _, ok := server.Holds(key, now); ok {
					holders = append(holders, server)
				}
			}
			present := map[pair]bool{}
			for i, a := range holders {
				for _, b := range holders[i+1:] {
					found := pair{key, a.ID, b.ID}
					present[found] = true
					if began[found].IsZero() {
						began[found] = now
						deployment.Record.Linef("judge: key %d is held by %s and %s", key, a.ID, b.ID)
					}
					longest[found] = max(longest[found], now.Sub(began[found]))
				}
			}
			for found := range began {
				if found.key == key && !present[found] {
					deployment.Record.Linef("judge: key %d is no longer held by both %s and %s, after %v", key, found.a, found.b, now.Sub(began[found]).Round(time.Millisecond))
					delete(began, found)
				}
			}
		}
	}
	var overlaps []Overlap
	for found, lasted := range longest {
		overlaps = append(overlaps, Overlap{found.key, found.a, found.b, lasted})
	}
	return overlaps
}

// playForeignEntry lets another writer put an entry into the store that names a service
// which no configuration names, at the address of a server. Then this server leaves as
// planned. The rule OWNER is broken if two servers that are up hold the same keys for
// over half a second.
func playForeignEntry(deployment *Deployment, trouble bool) (string, error) {
	deployment.Configure(7, [][]any{
		{"r-rates", "hulo84.example", "/leny950/", "safe", 1.2, 0.6, 1, 2, "huvo11a"},
	}, [][]any{{"huvo11a", "/health", 110, true, 5.0}})
	if err := deployment.AddServers("huvo11a", 4, true, 600); err != nil {
		return "", err
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	next := func() Request {
		return Request{ID: newID(), Method: http.MethodGet, Host: "hulo84.example", Path: "/leny950/2f", Key: rand.IntN(keyCount), Deadline: 2500 * time.Millisecond}
	}
	go Traffic(ctx, deployment, 50, next)
	overlaps := make(chan []Overlap, 1)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go func() { overlaps <- watchHolds(watchCtx, deployment, deployment.Servers) }()
	time.Sleep(12 * time.Second)
	leaving := deployment.Servers[1]
	if trouble {
		deployment.Store.Put("servers", "i-00c4e1d7", map[string]any{
			"addr": leaving.Address, "born": time.Now().UnixMilli(),
			"info": map[string]any{"service": "stock-sync", "version": "v1", "zone": leaving.Zone, "max-concurrency": 1},
		}, map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0})
		deployment.Record.Linef("another writer puts the entry i-00c4e1d7 of service stock-sync at %s", leaving.Address)
	}
	time.Sleep(4 * time.Second)
	leaving.Drain()
	time.Sleep(5 * time.Second) // drain-s and a little longer
	leaving.Leave()
	time.Sleep(4 * time.Second)
	stopWatch()
	longest, count := Overlap{}, 0
	for _, overlap := range <-overlaps {
		if overlap.Lasted > 500*time.Millisecond {
			count++
		}
		if overlap.Lasted > longest.Lasted {
			longest = overlap
		}
	}
	deployment.Record.Sayf("of %d keys looked at, %d were held by two servers for over 0.5 s; longest: %v", keyCount/64, count, longest)
	if count > 0 {
		return fmt.Sprintf("OWNER: key %d was held by %s and %s for %v", longest.Key, longest.A, longest.B, longest.Lasted.Round(time.Millisecond)), nil
	}
	return "", nil
}
