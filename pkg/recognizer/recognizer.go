package recognizer

import (
	"sync"
	"time"
)

const (
	// binWidth is the width of the times that count as equal. Requests that are sent
	// again are spread over many of them.
	binWidth = 2 * time.Millisecond
	// binCount is the number of times that are counted for each route.
	binCount = 64
	// minShare is the share of a route's requests that state the same time from which on
	// that is the time of new requests. Repeats that are told to come back within 50 ms, the
	// least spread of Retry-After, are fewer for each bin.
	minShare = 0.03
	// minCount is the least number of those requests.
	minCount = 5
	// maxElapsedShare is the longest time, as a share of the initial one, for which a caller
	// can have been waiting who honours Retry-After for a third of the time left, twice.
	maxElapsedShare = 0.6
	// minRequests is the number of requests of a route before any is recognized.
	minRequests = 20
	// halvingInterval is the number of requests after which counts are halved, so that
	// they follow changes of the configuration and of callers.
	halvingInterval = 512
	// minElapsed is the least time for which a request that is sent again was under way
	// before. Smaller differences are those of the callers' clocks.
	minElapsed = 10 * time.Millisecond
)

// Recognizer counts the times to the deadline that requests state. The zero value is
// ready. It is safe for concurrent use.
type Recognizer struct {
	mutex  sync.Mutex
	routes map[string]*counts
}

// counts are the most frequent times of a route's requests. Times that do not recur are
// removed as in the algorithm of Misra and Gries.
type counts struct {
	bins     [binCount]bin
	requests int // since the counts began, halved with them
	recorded int
}

type bin struct {
	stated time.Duration // rounded down to binWidth
	count  int
}

// Record counts a request of the route that states the time left to its deadline. It
// returns how long ago the caller has sent it first; 0 for a new request.
func (recognizer *Recognizer) Record(route string, stated time.Duration) (elapsed time.Duration) {
	recognizer.mutex.Lock()
	defer recognizer.mutex.Unlock()
	known := recognizer.routes[route]
	if known == nil {
		if recognizer.routes == nil {
			recognizer.routes = map[string]*counts{}
		}
		known = &counts{}
		recognizer.routes[route] = known
	}
	known.record(stated.Truncate(binWidth))
	return known.elapsed(stated)
}

func (counts *counts) record(stated time.Duration) {
	counts.requests++
	counts.recorded++
	if counts.recorded%halvingInterval == 0 {
		counts.requests /= 2
		for i := range counts.bins {
			counts.bins[i].count /= 2
		}
	}
	free := -1
	for i := range counts.bins {
		switch bin := &counts.bins[i]; {
		case bin.count == 0:
			free = i
		case bin.stated == stated:
			bin.count++
			return
		}
	}
	if free >= 0 {
		counts.bins[free] = bin{stated, 1}
		return
	}
	for i := range counts.bins {
		counts.bins[i].count--
	}
}

// elapsed returns the difference to the next longer time that new requests state.
func (counts *counts) elapsed(stated time.Duration) time.Duration {
	if counts.requests < minRequests {
		return 0
	}
	least := time.Duration(0)
	for _, bin := range counts.bins {
		if bin.count < minCount || float64(bin.count) < minShare*float64(counts.requests) || bin.stated+minElapsed <= stated {
			continue
		}
		difference := bin.stated - stated
		if difference < minElapsed {
			return 0
		}
		if float64(difference) <= maxElapsedShare*float64(bin.stated) && (least == 0 || difference < least) {
			least = difference
		}
	}
	return least
}
