package measurer

import (
	"context"
	"net/http"
	"sort"

	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// ringPoints is the number of points of each upstream on the ring.
const ringPoints = 100

// naive is the baseline: consistent hashing over the upstreams, first in first
// out, no admission, no ranks.
type naive struct {
	client *http.Client
	points []ringPoint
}

type ringPoint struct {
	hash  uint64
	place *naivePlace
}

// naivePlace is an upstream with its slots.
type naivePlace struct {
	address string
	slots   chan struct{}
}

func newNaive(upstreams []launcher.Upstream, slots int) *naive {
	ring := &naive{client: newClient()}
	for _, upstream := range upstreams {
		place := &naivePlace{address: upstream.Address, slots: make(chan struct{}, slots)}
		for point := range ringPoints {
			ring.points = append(ring.points, ringPoint{sharder.Hash(upstream.Name + "/" + string(rune('0'+point))), place})
		}
	}
	sort.Slice(ring.points, func(i, j int) bool { return ring.points[i].hash < ring.points[j].hash })
	return ring
}

func (naive *naive) send(ctx context.Context, arrival arrival) string {
	hash := sharder.Hash(arrival.key)
	index := sort.Search(len(naive.points), func(i int) bool { return naive.points[i].hash >= hash })
	place := naive.points[index%len(naive.points)].place
	// Goroutines that wait on a channel are served in their order.
	select {
	case place.slots <- struct{}{}:
		defer func() { <-place.slots }()
	case <-ctx.Done():
		return "late"
	}
	return call(ctx, naive.client, "http://"+place.address, arrival)
}
