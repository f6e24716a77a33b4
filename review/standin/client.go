package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Client sends requests on a connection that it keeps open.
type Client struct {
	Record *Record
	Edge   *Edge
	conn   net.Conn
	reader *bufio.Reader
}

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path string
	Key                    int // -1 for none
	Deadline               time.Duration
}

// Outcome is what the client has seen.
type Outcome struct {
	Status    int
	Sealed    bool
	Bytes     int
	Complete  bool
	NotOpened bool // no connection
	Err       error
}

func (outcome Outcome) String() string {
	return fmt.Sprintf("status %d, sealed %v, %d bytes, complete %v, error %v", outcome.Status, outcome.Sealed, outcome.Bytes, outcome.Complete, outcome.Err)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2000000+uint64(lastID.Add(1))) }

// Send sends the request and reads its answer.
func (client *Client) Send(request Request) (outcome Outcome) {
	defer func() {
		client.Record.Linef("client: %s %s %s%s: %v", request.ID, request.Method, request.Host, request.Path, outcome)
	}()
	if client.conn == nil {
		conn, err := net.DialTimeout("tcp", client.Edge.Front, time.Second)
		if err != nil {
			return Outcome{NotOpened: true, Err: err}
		}
		client.conn, client.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: %d\r\n", request.Method, request.Path, request.Host, request.ID, request.Deadline.Milliseconds())
	if request.Key >= 0 {
		fmt.Fprintf(&text, "Cuminstream-Shard-Key: %d\r\n", request.Key)
	}
	if request.Method != http.MethodGet {
		text.WriteString("Content-Length: 0\r\n")
	}
	text.WriteString("\r\n")
	_ = client.conn.SetDeadline(time.Now().Add(request.Deadline))
	if _, err := io.WriteString(client.conn, text.String()); err != nil {
		client.Close()
		return Outcome{Err: err}
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: request.Method})
	if err != nil {
		client.Close()
		return Outcome{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	outcome = Outcome{Status: response.StatusCode, Sealed: response.Header.Get("Cuminstream-Response-Seal") != "", Bytes: len(body), Complete: err == nil, Err: err}
	if err != nil || response.Close {
		client.Close()
	}
	return outcome
}

// Close closes the connection.
func (client *Client) Close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// Traffic sends requests at a steady rate to all edges in turn until ctx is done.
func Traffic(ctx context.Context, deployment *Deployment, perSecond int, next func() Request) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		edge := deployment.Edges[i%len(deployment.Edges)]
		go func() {
			client := &Client{Record: deployment.Record, Edge: edge}
			defer client.Close()
			client.Send(next())
		}()
	}
}

// TrafficKept is Traffic over connections that are kept open. It passes each outcome to
// done.
func TrafficKept(ctx context.Context, deployment *Deployment, perSecond int, next func() Request, done func(Request, Outcome)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	idle := map[*Edge]chan *Client{}
	for _, edge := range deployment.Edges {
		idle[edge] = make(chan *Client, 1000)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		edge := deployment.Edges[i%len(deployment.Edges)]
		go func() {
			client := &Client{Record: deployment.Record, Edge: edge}
			select {
			case client = <-idle[edge]:
			default:
			}
			request := next()
			done(request, client.Send(request))
			idle[edge] <- client
		}()
	}
}
