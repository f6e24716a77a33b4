package courier

import (
	"github.com/cuminstream/cuminstream/pkg/deadliner"
)

// routeService is a class of requests with service times of its own.
type routeService struct{ route, service string }

// deadliner returns the Deadliner of the exchange's route and service.
func (exchange *exchange) deadliner() *deadliner.Deadliner {
	class := routeService{exchange.route.Name, exchange.service.Name}
	exchange.Forwarder.mutex.Lock()
	defer exchange.Forwarder.mutex.Unlock()
	if exchange.deadliners == nil {
		exchange.deadliners = map[routeService]*deadliner.Deadliner{}
	}
	if exchange.deadliners[class] == nil {
		exchange.deadliners[class] = deadliner.New(exchange.Clock)
	}
	return exchange.deadliners[class]
}

// firstByteBound decides how long the next attempt may go without a response. There is no
// bound if the request could not be sent again.
func (exchange *exchange) firstByteBound() deadliner.Bound {
	if !exchange.route.Idempotent || exchange.bodyRest != nil || exchange.sentAttempts+1 >= exchange.route.MaxAttempts {
		return deadliner.Bound{}
	}
	now := exchange.Clock.Now()
	target := exchange.request.ReceivedAt.Add(exchange.route.TargetLatency).Sub(now)
	return exchange.deadliner().Bound(target, exchange.deadline.Sub(now))
}
