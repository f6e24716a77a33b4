package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["late-check-in"] = playLateCheckIn }

const (
	// drain is drain-s, for which a server goes on serving after its report.
	drain = 2 * time.Second
	// lateBy is how long after its call the lost check-in is carried out.
	lateBy = 5300 * time.Millisecond
	// stableAfter is the time from the lost answer to the report: over stable-window-s.
	stableAfter = 3050 * time.Millisecond
	// bookingWork is the mean work of a courier-booking.
	bookingWork = 290 * time.Millisecond
)

// LoseCheckIn lets the next check-in get no answer; the store carries it out later,
// whatever the server has written meanwhile. It returns when the call is made.
func (server *Server) LoseCheckIn(later time.Duration) {
	made := make(chan struct{})
	server.mutex.Lock()
	server.loseNext = func() {
		defer close(made)
		sequence, spec, status := server.sequence, server.spec(), server.status()
		server.Record.Linef("store: the check-in of %s, sequence %d, state %s, gets no answer", server.ID, sequence, server.state)
		time.AfterFunc(later, func() {
			server.Store.Put("servers", server.ID, spec, status)
			server.Record.Linef("store: the check-in of %s, sequence %d, is carried out", server.ID, sequence)
		})
	}
	server.mutex.Unlock()
	<-made
}

// serverBeside returns a server in the availability zone of the edge that has last written
// itself into the store for the service, as the platform can see there; the first server
// if there is none.
func (deployment *Deployment) serverBeside(service string) *Server {
	var claim struct {
		Broker string `json:"broker"`
	}
	if spec, ok := deployment.Store.Get("cuminstream-brokers", service); ok {
		_ = json.Unmarshal(spec, &claim)
	}
	for _, edge := range deployment.Edges {
		for _, server := range deployment.Servers {
			if edge.Name == claim.Broker && server.Zone == edge.Zone {
				return server
			}
		}
	}
	return deployment.Servers[0]
}

// playLateCheckIn lets the answer to one check-in of a server be lost, and the store carry
// it out seconds later, after the server has reported that it leaves. The rule DRAIN is
// broken if a request reaches the server later than drain-s after the store has
// acknowledged that report.
func playLateCheckIn(deployment *Deployment, trouble bool) (string, error) {
	deployment.Configure(7, [][]any{
		{"r-book", "jepu9.example", "/puka111/", "unsafe", 1.5, 0.8, 1, 2, "wuno96b"},
	}, [][]any{{"wuno96b", "/health", 110, false, nil}})
	if err := deployment.AddServers("wuno96b", 6, false, 400); err != nil {
		return "", err
	}
	for _, server := range deployment.Servers {
		server.Work = bookingWork
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go Traffic(ctx, deployment, 30, func() Request {
		return Request{ID: newID(), Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", Key: -1, Deadline: 3 * time.Second}
	})
	time.Sleep(8 * time.Second)
	leaving := deployment.serverBeside("wuno96b")
	if trouble {
		leaving.LoseCheckIn(lateBy)
	}
	time.Sleep(stableAfter)
	leaving.Drain()
	acknowledged := time.Now()
	time.Sleep(drain + 1600*time.Millisecond) // drain-s and a little longer
	running := leaving.Running()
	leaving.Leave()
	time.Sleep(4 * time.Second)
	stop()
	late, last := 0, time.Duration(0)
	for id, began := range leaving.Runs() {
		if after := began.Sub(acknowledged); after > drain {
			late++
			last = max(last, after)
			deployment.Record.Linef("judge: %s began to run at %s %.3f s after the ack of its report", id, leaving.ID, after.Seconds())
		}
	}
	deployment.Record.Sayf("requests that began at the leaving server later than drain-s after the ack: %d, the last one %.3f s after it; still running when it left: %d", late, last.Seconds(), running)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached server %s up to %.3f s after the ack that it is draining", late, leaving.ID, last.Seconds()), nil
	}
	return "", nil
}
