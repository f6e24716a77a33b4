package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipelined-stop"] = playPipelinedStop }

const (
	// pipelineInterval is the time between two requests on a connection. It is below the
	// time that a server works, so that the next one is sent before the first is answered.
	pipelineInterval = 100 * time.Millisecond
	// pipelineWork is the mean work of a rate-lookup.
	pipelineWork = 220 * time.Millisecond
	// pipelineDeadline is the time limit of a rate-lookup.
	pipelineDeadline = 2500 * time.Millisecond
	grace            = 6 * time.Second
)

// pipelined is a request that was sent on a connection with others.
type pipelined struct {
	id       string
	edge     *Edge
	sent     time.Time // when its last byte was written
	answered bool      // with a complete answer
	ended    time.Time // when its connection ended, if it has no answer
}

// pipeline is a client that sends a safe request every pipelineInterval on one
// connection, whether or not those before are answered. When an answer says that the
// connection closes, or when it ends, the client goes on with a new connection to the
// next edge. Requests behind such an answer count as not read.
type pipeline struct {
	deployment *Deployment
	mutex      sync.Mutex
	requests   []*pipelined
}

// run sends until stop is closed.
func (client *pipeline) run(first int, stop <-chan struct{}) {
	for turn := first; ; turn++ {
		select {
		case <-stop:
			return
		default:
		}
		edge := client.deployment.Edges[turn%len(client.deployment.Edges)]
		if !edge.InRotation() {
			continue
		}
		conn, err := net.DialTimeout("tcp", edge.Front, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		client.serve(edge, conn, stop)
	}
}

// serve uses one connection until it ends.
func (client *pipeline) serve(edge *Edge, conn net.Conn, stop <-chan struct{}) {
	record := client.deployment.Record
	defer conn.Close()
	pending := make(chan *pipelined, 1000)
	ended := make(chan struct{})
	broken := false // set before ended is closed
	go func() {
		defer close(ended)
		reader := bufio.NewReader(conn)
		for request := range pending {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			client.mutex.Lock()
			request.answered = err == nil
			if err != nil {
				request.ended, broken = time.Now(), true
			}
			client.mutex.Unlock()
			if err != nil {
				record.Linef("client: %s on %s: the connection ended, %v", request.id, edge.Name, err)
				return
			}
			record.Linef("client: %s on %s: status %d, close %v", request.id, edge.Name, response.StatusCode, response.Close)
			if response.Close {
				return
			}
		}
	}()
	ticker := time.NewTicker(pipelineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			for broken && len(pending) > 0 { // they were sent on the connection that ended
				(<-pending).ended = time.Now()
			}
			return
		case <-stop:
			close(pending)
			<-ended
			return
		case <-ticker.C:
		}
		request := &pipelined{id: newID(), edge: edge}
		text := fmt.Sprintf("GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: %d\r\n\r\n", request.id, pipelineDeadline.Milliseconds())
		client.mutex.Lock()
		_, err := io.WriteString(conn, text)
		request.sent = time.Now()
		if err == nil {
			client.requests = append(client.requests, request)
		}
		client.mutex.Unlock()
		if err != nil {
			return
		}
		record.Linef("client: %s on %s: sent", request.id, edge.Name)
		pending <- request
	}
}

// playPipelinedStop stops an edge as planned while clients send safe requests before the
// first is answered. The rule LOST is broken if the connection of a request ends without
// an answer once it has been passed on to a server.
func playPipelinedStop(deployment *Deployment, trouble bool) (string, error) {
	deployment.Configure(7, [][]any{
		{"r-rates", "hulo84.example", "/leny950/", "safe", 1.2, 0.6, 1, 2, "lovo22d"},
	}, [][]any{{"lovo22d", "/health", 110, false, nil}})
	if err := deployment.AddServers("lovo22d", 9, false, 600); err != nil {
		return "", err
	}
	for _, server := range deployment.Servers {
		server.Work = pipelineWork
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	stopBalancer := make(chan struct{})
	defer close(stopBalancer)
	for _, edge := range deployment.Edges {
		go edge.Probe(stopBalancer)
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	clients := make([]*pipeline, 3)
	for i := range clients {
		clients[i] = &pipeline{deployment: deployment}
		running.Go(func() { clients[i].run(i, stop) })
	}
	time.Sleep(5 * time.Second)
	stopped := deployment.Edges[0]
	signalled := time.Now()
	if trouble {
		stopped.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { stopped.Signal(syscall.SIGKILL) })
	}
	time.Sleep(grace + time.Second)
	if trouble {
		if err := stopped.Start(); err != nil { // as roll_term does
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	sent, answered, lost, excused := 0, 0, 0, 0
	for _, client := range clients {
		for _, request := range client.requests {
			sent++
			began, ran := deployment.Began(request.id)
			switch {
			case request.answered:
				answered++
			case !ran || request.ended.IsZero():
				// It was sent behind another and not passed on, or its connection closed
				// after an answer that says so.
			case request.ended.Sub(request.sent) > 1200*time.Millisecond,
				request.sent.Sub(signalled) <= 3*time.Second && request.ended.Sub(signalled) >= grace*5/6:
				excused++ // the route's timeout was reached, or the last sixth of grace-s
			default:
				lost++
				deployment.Record.Linef("judge: %s was sent to %s %.3f s after the SIGTERM, ran from %.3f s on, and its connection ended at %.3f s without an answer",
					request.id, request.edge.Name, request.sent.Sub(signalled).Seconds(), began.Sub(signalled).Seconds(), request.ended.Sub(signalled).Seconds())
			}
		}
	}
	deployment.Record.Sayf("requests sent: %d, answered: %d, passed on to a server and cut: %d, excused: %d", sent, answered, lost, excused)
	if lost > 0 {
		return fmt.Sprintf("LOST: around a SIGTERM, %d requests were passed on to a server, and their connection ended without an answer", lost), nil
	}
	return "", nil
}
