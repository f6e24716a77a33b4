package dispatcher

import "github.com/prometheus/client_golang/prometheus"

var (
	refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_refusals_total",
		Help: "Requests that the group holder did not answer with an upstream's answer, by kind and rank.",
	}, []string{"kind", "rank"})
	served = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_served_total",
		Help: "Requests whose upstream's answer began to be passed on, by rank.",
	}, []string{"rank"})
	moves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_moves_total",
		Help: "Changes of the owner of a shard or hot key, by reason.",
	}, []string{"reason"})
	retries = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_retries_total",
		Help: "Requests that were sent again after they may have run or were shed.",
	})
	upstreamLosses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_upstream_losses_total",
		Help: "Upstreams that were declared lost.",
	})
	keyUnavailable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_key_unavailable_seconds_total",
		Help: "Time that requests waited for an owner of their key.",
	})
	copyFailures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_copy_failures_total",
		Help: "Copies of group state that did not reach a majority, by content.",
	}, []string{"content"})
	persistFailures = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cuminstream_dispatcher_persist_failures_total",
		Help: "Failed attempts to write the assignment to the platform.",
	})
)

// Collectors returns the metrics of the package.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{refusals, served, moves, retries, upstreamLosses, keyUnavailable, copyFailures, persistFailures}
}
