package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLargeAnswer lets sound servers answer with large bodies. Each request goes over a
// kept connection. The rule LOST is broken if more than three of those that ran have no
// complete answer.
func playLargeAnswer(deployment *Deployment, trouble bool) (string, error) {
	answerBytes := 30_000
	if trouble {
		answerBytes = 600_000
	}
	deployment.Configure(7, [][]any{
		{"r-book", "jepu9.example", "/puka111/", "unsafe", 1.5, 0.8, 1, 2, "wuno96b"},
	}, [][]any{{"wuno96b", "/health", 110, false, nil}})
	if err := deployment.AddServers("wuno96b", 3, false, answerBytes); err != nil {
		return "", err
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second) // the machines are in touch
	lost, complete := 0, 0
	for _, edge := range deployment.Edges {
		client := &Client{Record: deployment.Record, Edge: edge}
		for range 10 {
			// The same kept connection as long as it lasts; the first request of a
			// connection is small work that makes it a kept one.
			request := Request{ID: newID(), Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", Key: -1, Deadline: 3 * time.Second}
			outcome := client.Send(request)
			ran := 0
			for _, server := range deployment.Servers {
				ran += server.Runs(request.ID)
			}
			switch {
			case outcome.Status == http.StatusOK && outcome.Complete && outcome.Bytes == answerBytes:
				complete++
			case ran > 0 && !outcome.Complete:
				lost++
			}
		}
		client.Close()
	}
	deployment.Record.Sayf("complete answers: %d; requests that ran and have no complete answer: %d", complete, lost)
	if lost > 3 {
		return fmt.Sprintf("LOST: %d requests ran, and their connection ended without a complete answer", lost), nil
	}
	return "", nil
}
