package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// resultDone is the result of a request whose response was passed on completely.
const resultDone answerer.Kind = "done"

// Metrics counts responses and retries, and measures the duration of requests.
type Metrics struct {
	Requests *prometheus.CounterVec
	Duration *prometheus.HistogramVec
	Retries  prometheus.Counter
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_router_requests_total",
			Help: "Answers to callers, by service, rank and result (done, or an error kind).",
		}, []string{"service", "rank", "result"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cuminstream_router_request_seconds",
			Help:    "Time from a request's first byte to the end of its answer, in seconds, by rank.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"rank"}),
		Retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminstream_router_retries_total",
			Help: "Idempotent requests that were sent to a second holder.",
		}),
	}
	registerer.MustRegister(metrics.Requests, metrics.Duration, metrics.Retries)
	return metrics
}

// observe records a finished request.
func (metrics *Metrics) observe(request *carrier.Request, kind answerer.Kind, elapsed time.Duration) {
	rank := request.Rank.String()
	metrics.Requests.WithLabelValues(request.Service, rank, string(kind)).Inc()
	metrics.Duration.WithLabelValues(rank).Observe(elapsed.Seconds())
}
