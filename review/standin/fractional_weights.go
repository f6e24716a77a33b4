package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["fractional-weights"] = playFractionalWeights }

// configApply is config-apply-s.
const configApply = 2 * time.Second

// playFractionalWeights changes the configuration: one route gets a traffic-split, and
// another is added. The weights of the split are 0.9 and 0.1, and 90 and 10 without the
// trouble. The rule CONFIG is broken if machines in touch still answer 404 on the added
// route later than config-apply-s after the ack.
func playFractionalWeights(deployment *Deployment, trouble bool) (string, error) {
	services := [][]any{{"lovo22d", "/health", 110, false, nil}, {"kafi81c", "/health", 110, false, nil}}
	deployment.Configure(7, [][]any{
		{"r-rates", "hulo84.example", "/leny950/", "safe", 1.2, 0.6, 1, 2, "lovo22d"},
	}, services)
	if err := deployment.AddServers("lovo22d", 3, false, 400); err != nil {
		return "", err
	}
	if err := deployment.AddServers("kafi81c", 3, false, 400); err != nil {
		return "", err
	}
	if err := deployment.StartEdges(3); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second) // the machines are in touch
	weights := []any{90, 10}
	if trouble {
		weights = []any{0.9, 0.1}
	}
	deployment.Configure(8, [][]any{
		{"r-rates", "hulo84.example", "/leny950/", "safe", 1.2, 0.6, 1, 2, nil, []map[string]any{
			{"service": "lovo22d", "weight": weights[0]}, {"service": "kafi81c", "weight": weights[1]},
		}},
		{"r-added", "hulo84.example", "/puka111/", "safe", 1.2, 0.6, 1, 2, "kafi81c", nil},
	}, services)
	deployment.Record.Linef("operator: version r8 is acknowledged")
	time.Sleep(configApply + 3*time.Second)
	served, refused := 0, 0
	for range 10 {
		for _, edge := range deployment.Edges {
			client := &Client{Record: deployment.Record, Edge: edge}
			outcome := client.Send(Request{ID: newID(), Method: http.MethodGet, Host: "hulo84.example", Path: "/puka111/2f", Key: -1, Deadline: 2 * time.Second})
			client.Close()
			switch outcome.Status {
			case http.StatusOK:
				served++
			case http.StatusNotFound:
				refused++
			}
		}
	}
	deployment.Record.Sayf("requests on the added route 5 s after the ack: %d served, %d answered 404", served, refused)
	if refused > 0 {
		return fmt.Sprintf("CONFIG: %d requests on a route of an acknowledged version are answered 404", refused), nil
	}
	return "", nil
}
