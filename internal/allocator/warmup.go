package allocator

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// warmupTerms are the terms by which cold upstreams tolerate more requests than their
// service's rate. The overage is 0 if there is no bound.
type warmupTerms struct{ overage, slack float64 }

// SetWarmupTerms sets by how much the requests to a cold upstream may exceed the rate of its
// service: in any second it gets at most the rate times the overage, plus the slack. There
// is no bound if the overage is 0.
func (allocator *Allocator) SetWarmupTerms(overage, slack float64) {
	allocator.mutex.Lock()
	allocator.warmupTerms = warmupTerms{overage, slack}
	allocator.mutex.Unlock()
	for _, service := range allocator.allServices() {
		allocator.applyWarmup(service)
	}
}

// setWarmup sets how long the upstreams of the service are cold and which rate they
// tolerate. It reports whether that is a change.
func (service *service) setWarmup(definition matcher.Service) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.coldFor == definition.ColdFor && service.coldRate == definition.ColdRate {
		return false
	}
	service.coldFor, service.coldRate = definition.ColdFor, definition.ColdRate
	return true
}

// applyWarmup passes the warm-up bound on to the broker of the service.
func (allocator *Allocator) applyWarmup(service *service) {
	allocator.mutex.Lock()
	terms := allocator.warmupTerms
	allocator.mutex.Unlock()
	service.mutex.Lock()
	bound := warmupBound(service.coldFor, service.coldRate, terms)
	service.mutex.Unlock()
	service.broker.SetWarmupBound(bound)
	if bound.PerSecond > 0 {
		allocator.Log.Info("requests to cold upstreams are limited", "service", service.name, "coldForMs", bound.Duration.Milliseconds(), "perSecond", bound.PerSecond)
	}
}

// maxWarmupBound is a bound that limits nothing; it keeps the numbers small.
const maxWarmupBound = 1e6

func warmupBound(coldFor time.Duration, coldRate float64, terms warmupTerms) broker.WarmupBound {
	bound := broker.WarmupBound{Duration: coldFor}
	if coldRate > 0 && terms.overage > 0 {
		bound.PerSecond = min(coldRate*terms.overage+terms.slack, maxWarmupBound)
	}
	return bound
}

// logWarmup logs each upstream that has become cold or warm, if this VM is its broker.
func (allocator *Allocator) logWarmup(service *service) {
	if !service.isBroker() {
		return
	}
	stats := service.broker.WarmupStats()
	service.mutex.Lock()
	former := service.coldLogged
	service.coldLogged = stats.Cold
	service.mutex.Unlock()
	for _, upstream := range stats.Cold {
		if !slices.Contains(former, upstream) {
			allocator.Log.Info("upstream is cold", "upstream", upstream, "service", service.name)
		}
	}
	for _, upstream := range former {
		if !slices.Contains(stats.Cold, upstream) {
			allocator.Log.Info("upstream is warm", "upstream", upstream, "service", service.name, "limitedRequests", stats.Limited)
		}
	}
}
