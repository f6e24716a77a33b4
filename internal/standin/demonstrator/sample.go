package demonstrator

import (
	"encoding/json"
	"fmt"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// zones of the demo.
var zones = []string{"zone-a", "zone-b"}

const (
	upstreamsPerZone = 2
	slots            = 2
	connections      = 110
)

// upstreams returns the processes of a service and what its section says of
// them.
func upstreams(service string) ([]launcher.Upstream, []configurer.Upstream, error) {
	var (
		processes []launcher.Upstream
		declared  []configurer.Upstream
	)
	for _, zone := range zones {
		for number := range upstreamsPerZone {
			address, err := launcher.FreeAddress()
			if err != nil {
				return nil, nil, err
			}
			name := fmt.Sprintf("%s-%s-%d", service, zone[len(zone)-1:], number+1)
			processes = append(processes, launcher.Upstream{Name: name, Address: address})
			declared = append(declared, configurer.Upstream{
				Name: name, Zone: zone, Address: address, Slots: slots, Connections: connections,
			})
		}
	}
	return processes, declared, nil
}

// section returns the document's section of one service.
func section(service, team string, declared []configurer.Upstream) ([]byte, error) {
	upload, idempotent := queuer.Upload, true
	rank := queuer.Lookup
	if service == "bookings" {
		rank = queuer.Transaction
	}
	return json.MarshalIndent(map[string]any{
		"team": team,
		"services": []any{map[string]any{
			"name": service, "pathPrefix": "/" + service, "key": configurer.KeySource{PathSegment: 2},
			"upstreams": declared, "checksGrants": true, "rank": rank, "idempotent": service == "quotes", "timeout": "3s",
			"routes": []any{map[string]any{
				"methods": []string{"PUT"}, "rank": upload, "idempotent": idempotent, "timeout": "30s",
			}},
		}},
	}, "", "  ")
}
