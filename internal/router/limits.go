package router

import (
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// maxLocalRefusal bounds how long the router refuses on its own after the
// holder reported an overload, so that freed capacity is found again soon.
const maxLocalRefusal = 100 * time.Millisecond

// refusals remembers overloads that holders reported, by shard and rank, so
// that a flood is refused at the entry without a hop.
type refusals struct {
	mutex sync.RWMutex
	until map[refusalKey]time.Time
}

type refusalKey struct {
	service string
	shard   uint32
	rank    queuer.Rank
}

func keyOf(request *carrier.Request) refusalKey {
	return refusalKey{service: request.Service, shard: request.Shard, rank: request.Rank}
}

func (refusals *refusals) check(now time.Time, request *carrier.Request) error {
	refusals.mutex.RLock()
	until := refusals.until[keyOf(request)]
	refusals.mutex.RUnlock()
	if left := until.Sub(now); left > 0 {
		return answerer.New(answerer.NotRunOverloaded, "the upstream of the key is overloaded for rank %s", request.Rank).WithRetryAfter(left)
	}
	return nil
}

func (refusals *refusals) learn(now time.Time, request *carrier.Request, err *answerer.Error) {
	if err.Kind != answerer.NotRunOverloaded || err.RetryAfter <= 0 {
		return
	}
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	if refusals.until == nil {
		refusals.until = map[refusalKey]time.Time{}
	}
	refusals.until[keyOf(request)] = now.Add(min(err.RetryAfter, maxLocalRefusal))
}
