package router

import (
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// maxOverloadAge limits how long the router refuses requests itself after a holder
// has reported an overload, so that it soon notices freed capacity.
const maxOverloadAge = 100 * time.Millisecond

// overloadCache stores the overloads that holders have reported, by service, shard
// and rank, so that the router refuses excess requests without forwarding them.
type overloadCache struct {
	mutex sync.RWMutex
	until map[overloadKey]time.Time
}

type overloadKey struct {
	service string
	shard   uint32
	rank    queuer.Rank
}

func overloadKeyOf(request *carrier.Request) overloadKey {
	return overloadKey{service: request.Service, shard: request.Shard, rank: request.Rank}
}

// check returns an error if the request's shard is overloaded for its rank.
func (cache *overloadCache) check(now time.Time, request *carrier.Request) error {
	cache.mutex.RLock()
	until := cache.until[overloadKeyOf(request)]
	cache.mutex.RUnlock()
	if remaining := until.Sub(now); remaining > 0 {
		return answerer.New(answerer.NotRunOverloaded, "the upstream of the key is overloaded for rank %s", request.Rank).WithRetryAfter(remaining)
	}
	return nil
}

// record stores the overload that err reports, if any.
func (cache *overloadCache) record(now time.Time, request *carrier.Request, err *answerer.Error) {
	if err.Kind != answerer.NotRunOverloaded || err.RetryAfter <= 0 {
		return
	}
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.until == nil {
		cache.until = map[overloadKey]time.Time{}
	}
	cache.until[overloadKeyOf(request)] = now.Add(min(err.RetryAfter, maxOverloadAge))
}
