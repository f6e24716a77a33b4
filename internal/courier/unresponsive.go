package courier

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/deadliner"
)

// routeService is a class of requests with service times of its own.
type routeService struct{ route, service string }

// deadliner returns the Deadliner of the exchange's route and service, or nil if requests of
// the route are never sent a second time. One takes about 40 KB.
func (exchange *exchange) deadliner() *deadliner.Deadliner {
	if !exchange.route.Idempotent || exchange.route.MaxAttempts < 2 {
		return nil
	}
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
	class := exchange.deadliner()
	if class == nil || exchange.bodyRest != nil || exchange.sentAttempts+1 >= exchange.route.MaxAttempts {
		return deadliner.Bound{}
	}
	now := exchange.Clock.Now()
	target := exchange.request.ReceivedAt.Add(exchange.route.TargetLatency).Sub(now)
	return class.Bound(target, exchange.deadline.Sub(now))
}

// recordServed records the service time of an attempt that was served.
func (exchange *exchange) recordServed(bound deadliner.Bound, elapsed time.Duration) {
	if class := exchange.deadliner(); class != nil {
		class.RecordServed(bound, elapsed)
	}
}

// recordBudgetExhausted records that the retry budget did not allow another attempt.
func (exchange *exchange) recordBudgetExhausted() {
	if class := exchange.deadliner(); class != nil {
		class.RecordBudgetExhausted()
	}
}
