package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["order-copy"] = playOrderCopy }

const (
	// lookupWork is the mean work of a rate-lookup.
	lookupWork = 220 * time.Millisecond
	// hotShare of the lookups are for hotKeys adjacent keys, as in the site's hot_key.
	// These change every hotSpell.
	hotShare = 0.35
	hotKeys  = 200
	hotSpell = 2500 * time.Millisecond
	// orderSpells is how often servers send answers twice, for doubledSpell each, and
	// orderGap the time between.
	orderSpells = 14
	orderGap    = time.Second
)

// keyedServices are the services, all of them divided by key.
var keyedServices = []string{"huvo11a", "kafi81c", "lovo22d", "wuno96b"}

// Order is a grant or a release.
type Order struct {
	From, To int
	Fence    uint64
	Hold     float64 `json:"hold-s"`
}

// serveDoubledOrders sends the second copy of the last answer on the connection, now that
// the next order has arrived there, and then serves the orders that follow on it.
func (server *Server) serveDoubledOrders(writer http.ResponseWriter, request *http.Request, second []byte) {
	var order Order
	_ = json.NewDecoder(request.Body).Decode(&order)
	conn, buffer, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	server.Record.Linef("server %s: sends the second copy of its last answer, before it answers %s of %d-%d", server.ID, request.URL.Path, order.From, order.To)
	if _, err := conn.Write(second); err != nil {
		return
	}
	for {
		status, header := server.order(request.URL.Path, order)
		if _, err := conn.Write(response(status, header, nil)); err != nil {
			return
		}
		if request, err = http.ReadRequest(buffer.Reader); err != nil {
			return
		}
		order = Order{}
		if json.NewDecoder(request.Body).Decode(&order) != nil {
			return
		}
	}
}

// StillAtWork is a key on which another server is still at work.
type StillAtWork struct {
	Key    int
	Server string
	Left   time.Duration // of its hold
}

// atWork returns a key of the range on which the server is still at work, before its hold
// would have run out.
func (server *Server) atWork(from, to int, now time.Time) (found StillAtWork, ok bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.up {
		return found, false
	}
	for key := range server.running {
		end := server.until[key]
		if server.released[key].After(end) {
			end = server.released[key]
		}
		if key >= from && key <= to && now.Before(end) {
			return StillAtWork{key, server.ID, end.Sub(now)}, true
		}
	}
	return found, false
}

// playOrderCopy lets some servers send a few of their answers twice, the second copy when
// the next response is expected, while the busy keys change. The rule OWNER is broken if
// a server is given a key on which another is still at work, before that one's hold
// would have run out.
func playOrderCopy(deployment *Deployment, trouble bool) (string, error) {
	var routes, services [][]any
	for _, service := range keyedServices {
		routes = append(routes, []any{"r-" + service, "hulo84.example", "/" + service + "/", "safe", 1.2, 0.6, 1, 2, service})
		services = append(services, []any{service, "/health", 110, true, 5.0})
	}
	deployment.Configure(7, routes, services)
	for _, service := range keyedServices {
		if err := deployment.AddServers(service, 10, true, 600); err != nil {
			return "", err
		}
	}
	var given atomic.Int64
	for i, server := range deployment.Servers {
		server.Work = lookupWork
		if i%10 < 6 {
			server.Fault = &Fault{}
		}
		server.OnGrant = func(order Order) {
			now := time.Now()
			for _, other := range deployment.Servers {
				if other == server || other.Service != server.Service {
					continue
				}
				if found, ok := other.atWork(order.From, order.To, now); ok {
					given.Add(1)
					deployment.Record.Linef("judge: %s is given %d-%d while %s is still at work on key %d, %v before its hold runs out", server.ID, order.From, order.To, other.ID, found.Key, found.Left.Round(time.Millisecond))
				}
			}
		}
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := time.Now()
	places := sync.Map{}
	for _, service := range keyedServices {
		go TrafficKept(ctx, deployment, 40, func() Request {
			key := rand.IntN(keyCount)
			if rand.Float64() < hotShare {
				place := fmt.Sprint(service, time.Since(began)/hotSpell)
				first, _ := places.LoadOrStore(place, rand.IntN(keyCount-hotKeys))
				key = first.(int) + rand.IntN(hotKeys)
			}
			return Request{ID: newID(), Method: http.MethodGet, Host: "hulo84.example", Path: "/" + service + "/2f", Key: key, Deadline: 2500 * time.Millisecond}
		}, func(Request, Outcome) {})
	}
	time.Sleep(8 * time.Second)
	for range orderSpells {
		for _, server := range deployment.Servers {
			if server.Fault != nil {
				server.Fault.set(false, trouble)
			}
		}
		time.Sleep(doubledSpell)
		for _, server := range deployment.Servers {
			if server.Fault != nil {
				server.Fault.set(false, false)
			}
		}
		time.Sleep(orderGap)
	}
	stop()
	if given.Load() > 0 {
		return fmt.Sprintf("OWNER: %d grants gave a server keys on which another was still at work, before its hold would have run out", given.Load()), nil
	}
	return "", nil
}
