package starter

import (
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

func rankName(rank int) string { return queuer.Rank(rank).String() }

// refusalCounts returns the number of answers of each error kind since the start
// of the process, taken from the metrics of the router.
func (groups *localGroups) refusalCounts() map[string]float64 {
	kinds := map[string]bool{}
	for _, kind := range answerer.Kinds() {
		kinds[string(kind)] = true
	}
	counts := map[string]float64{}
	families, err := groups.metrics.Gather()
	if err != nil {
		return counts
	}
	for _, family := range families {
		if family.GetName() != "cuminstream_router_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "result" && kinds[label.GetValue()] {
					counts[label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}
