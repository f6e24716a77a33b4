package main

import (
	"fmt"
	"os"
	"time"
)

// Deployment is a small installation: the store, the servers and the edges.
type Deployment struct {
	Record  *Record
	Folder  string
	Program string
	Store   *Store
	Servers []*Server
	Edges   []*Edge
}

func newDeployment(record *Record, program string) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := startStore(record)
	return &Deployment{Record: record, Folder: folder, Program: program, Store: store}, err
}

// Close ends all processes.
func (deployment *Deployment) Close() {
	for _, edge := range deployment.Edges {
		edge.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.Folder)
	} else {
		fmt.Println("logs are in", deployment.Folder)
	}
}

// routeColumns are the fields of a route.
var routeColumns = []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service", "traffic-split"}

// Configure writes a configuration, as the operator does. A row of a route has the
// values of routeColumns; the last ones may be left out.
func (deployment *Deployment) Configure(version int, routes [][]any, services [][]any) {
	for i, row := range routes {
		for len(row) < len(routeColumns) {
			row = append(row, nil) // null means omitted
		}
		routes[i] = row
	}
	deployment.Store.Put("config", "main", map[string]any{
		"version":  fmt.Sprint("r", version),
		"routes":   map[string]any{"columns": routeColumns, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "sharded", "warm-s"}, "rows": services},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}, nil)
}

// AddServers starts servers of a service, spread over the zones.
func (deployment *Deployment) AddServers(service string, count int, keyed bool, answerBytes int) error {
	for i := range count {
		server := &Server{
			Record: deployment.Record, Store: deployment.Store, ID: fmt.Sprintf("i-%s-%d", service, i), Service: service,
			Zone: zones[i%len(zones)], Keyed: keyed, Slots: 2, Work: 30 * time.Millisecond, AnswerBytes: answerBytes,
		}
		if err := server.Start(); err != nil {
			return err
		}
		deployment.Record.Linef("server %s: at %s in %s", server.ID, server.Address, server.Zone)
		deployment.Servers = append(deployment.Servers, server)
	}
	return nil
}

var zones = []string{"accra-a", "accra-b", "accra-c"}

// StartEdges starts edges, one in each zone in turn, and waits until they are ready.
func (deployment *Deployment) StartEdges(count int) error {
	for i := range count {
		zone := zones[i%len(zones)]
		edge := &Edge{
			Record: deployment.Record, Program: deployment.Program, Folder: deployment.Folder, Name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1),
			Zone: zone, Store: deployment.Store.Address, First: true,
		}
		deployment.Edges = append(deployment.Edges, edge)
		if err := edge.Start(); err != nil {
			return err
		}
	}
	return deployment.awaitReady(20 * time.Second)
}

func (deployment *Deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, edge := range deployment.Edges {
		for !edge.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("edge %s is not ready", edge.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Began returns when the request last began to run at a server.
func (deployment *Deployment) Began(id string) (began time.Time, ran bool) {
	for _, server := range deployment.Servers {
		server.mutex.Lock()
		at, ok := server.began[id]
		server.mutex.Unlock()
		if ok {
			began, ran = at, true
		}
	}
	return began, ran
}

// Runs returns how often the request has run at all servers.
func (deployment *Deployment) Runs(id string) int {
	runs := 0
	for _, server := range deployment.Servers {
		server.mutex.Lock()
		runs += server.runs[id]
		server.mutex.Unlock()
	}
	return runs
}
