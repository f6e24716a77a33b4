package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["large-answer"] = playLargeAnswer }

const (
	// usualAnswer is the longest answer of the requests of the site, and largeAnswer one
	// that is twenty times as long.
	usualAnswer = 30_000
	largeAnswer = 600_000
	// requestsPerEdge is the number of requests with a large answer that each edge gets.
	requestsPerEdge = 10
	// allowedLosses is the number of requests that the rule LOST lets pass.
	allowedLosses = 3
)

// playLargeAnswer lets sound servers answer with large bodies. Each such request follows
// an answered one on a kept connection. The rule LOST is broken if over three of those
// that ran have no complete answer.
func playLargeAnswer(deployment *Deployment, trouble bool) (string, error) {
	answerBytes := usualAnswer
	if trouble {
		answerBytes = largeAnswer
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
		for range requestsPerEdge {
			request := Request{Method: http.MethodPost, Host: "jepu9.example", Key: -1, Deadline: 3 * time.Second}
			request.ID, request.Path = newID(), "/puka111/short"
			if first := client.Send(request); !first.Complete || first.Status != http.StatusOK || client.conn == nil {
				return "", fmt.Errorf("the first request of a connection has no answer: %v", first)
			}
			request.ID, request.Path = newID(), "/puka111/2f"
			outcome := client.Send(request)
			_, ran := deployment.Began(request.ID)
			switch {
			case outcome.Status == http.StatusOK && outcome.Complete && outcome.Bytes == answerBytes:
				complete++
			case ran && !outcome.Complete:
				lost++
			}
		}
		client.Close()
	}
	deployment.Record.Sayf("complete answers: %d; requests that ran and have no complete answer: %d", complete, lost)
	if lost > allowedLosses {
		return fmt.Sprintf("LOST: %d requests ran, and their kept connection ended without a complete answer", lost), nil
	}
	return "", nil
}
