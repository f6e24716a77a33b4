// Package splitter distributes requests over weighted backends. The distribution is
// exact: after every round, which has as many requests as the sum of the weights, each
// backend has got exactly its share.
package splitter

import "sync"

// Splitter picks backends by smooth weighted round robin. It is safe for concurrent
// use.
type Splitter struct {
	mutex          sync.Mutex
	weights        []int
	currentWeights []int
	total          int
}

// maxOffset bounds the picks that a new splitter skips.
const maxOffset = 10_000

// New returns a splitter for the weights, at least one of which must be above 0.
// offset skips that many picks, so that the splitters of many VMs do not all pick the
// same backend first.
func New(weights []int, offset int) *Splitter {
	splitter := &Splitter{weights: weights, currentWeights: make([]int, len(weights))}
	for _, weight := range weights {
		splitter.total += weight
	}
	if splitter.total > 0 {
		for range offset % min(splitter.total, maxOffset) {
			splitter.Next()
		}
	}
	return splitter
}

// Next returns the index of the weight of the backend for the next request.
func (splitter *Splitter) Next() int {
	splitter.mutex.Lock()
	defer splitter.mutex.Unlock()
	best := 0
	for i, weight := range splitter.weights {
		splitter.currentWeights[i] += weight
		if splitter.currentWeights[i] > splitter.currentWeights[best] || splitter.weights[best] == 0 {
			best = i
		}
	}
	splitter.currentWeights[best] -= splitter.total
	return best
}
