package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// line is one measured quantity.
type line struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Phase    string  `json:"phase,omitempty"`
	Rank     string  `json:"rank,omitempty"`
	Quantity string  `json:"quantity"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Seed     uint64  `json:"seed"`
}

// report prints lines as JSON.
type report struct {
	output io.Writer
	mutex  sync.Mutex
}

func (report *report) add(line line) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	text, err := json.Marshal(line)
	if err != nil {
		return
	}
	fmt.Fprintf(report.output, "%s\n", text)
}

// tally counts the outcomes of one rank in one phase.
type tally struct {
	sent, done int
	refused    map[string]int
	latency    *hdrhistogram.Histogram // microseconds of done requests
}

const maxLatency = 60_000_000 // microseconds

func newTally() *tally {
	return &tally{refused: map[string]int{}, latency: hdrhistogram.New(1, maxLatency, 3)}
}

// tallies are the counts of one run by phase and rank.
type tallies struct {
	mutex   sync.Mutex
	byPhase map[string]*[queuer.RankCount]*tally
}

func newTallies(phases []phase) *tallies {
	tallies := &tallies{byPhase: map[string]*[queuer.RankCount]*tally{}}
	for _, phase := range phases {
		tallies.byPhase[phase.name] = &[queuer.RankCount]*tally{newTally(), newTally(), newTally()}
	}
	return tallies
}

// count records a request that arrived in the phase. result is empty for a
// request that was done in time.
func (tallies *tallies) count(phase string, rank queuer.Rank, result string, took time.Duration) {
	tallies.mutex.Lock()
	defer tallies.mutex.Unlock()
	tally := tallies.byPhase[phase][rank]
	tally.sent++
	if result != "" {
		tally.refused[result]++
		return
	}
	tally.done++
	_ = tally.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatency))
}

// print writes the quantities of each phase and rank.
func (tallies *tallies) print(report *report, scenario, policy string, seed uint64, phases []phase) {
	for _, phase := range phases {
		for rank, tally := range tallies.byPhase[phase.name] {
			if tally.sent == 0 {
				continue
			}
			add := func(quantity string, value float64, unit string) {
				report.add(line{scenario, policy, phase.name, queuer.Rank(rank).String(), quantity, value, unit, seed})
			}
			add("offered", float64(tally.sent)/phase.duration.Seconds(), "requests/s")
			add("goodput", float64(tally.done)/phase.duration.Seconds(), "requests/s")
			add("p50", float64(tally.latency.ValueAtQuantile(50))/1000, "ms")
			add("p99", float64(tally.latency.ValueAtQuantile(99))/1000, "ms")
			for _, kind := range slices.Sorted(maps.Keys(tally.refused)) {
				add("refused "+kind, float64(tally.refused[kind]), "requests")
			}
		}
	}
}
