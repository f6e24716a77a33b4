package courier

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Metrics count and time requests.
type Metrics struct {
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	work     *prometheus.HistogramVec
}

// latencyBuckets span the times from a quick refusal to the longest time limits, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 3, 5, 8}

// NewMetrics returns the metrics of a courier.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_answers_total", Help: "Answers to callers, by route and status.",
		}, []string{"route", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstream_answer_seconds", Help: "Time from the header of a request to its answer, by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_attempts_total", Help: "Requests sent to upstreams, by service and outcome.",
		}, []string{"service", "outcome"}),
		work: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstream_attempt_seconds", Help: "Time from the send to the end of an attempt, by service.", Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	registerer.MustRegister(metrics.answers, metrics.latency, metrics.attempts, metrics.work)
	return metrics
}

func (metrics *Metrics) attempt(service string, result broker.Result) {
	if metrics == nil {
		return
	}
	metrics.attempts.WithLabelValues(service, string(result.Outcome)).Inc()
	metrics.work.WithLabelValues(service).Observe(result.Elapsed.Seconds())
}

func (metrics *Metrics) answer(route string, status int, elapsed time.Duration) {
	if metrics == nil {
		return
	}
	metrics.answers.WithLabelValues(route, strconv.Itoa(status)).Inc()
	metrics.latency.WithLabelValues(route).Observe(elapsed.Seconds())
}

// milliseconds is the unit of times in log lines.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (delivery *delivery) logSlot(slot Slot) {
	attributes := []slog.Attr{
		slog.String("id", delivery.id), slog.String("service", delivery.service.Name), slog.Int("key", delivery.key),
		slog.String("broker", slot.Broker), slog.Uint64("term", slot.Term), slog.Int("queue", slot.QueueLength),
		slog.Float64("waitedMs", milliseconds(slot.Waited)), slog.Int("sentBefore", delivery.sent),
	}
	if slot.Refusal != "" {
		attributes = append(attributes, slog.String("refused", string(slot.Refusal)), slog.Float64("retryAfterMs", milliseconds(slot.RetryAfter)))
	} else {
		attributes = append(attributes, slog.String("upstream", slot.Upstream.ID), slog.Uint64("ticket", slot.Ticket))
	}
	delivery.Log.LogAttrs(context.Background(), slog.LevelInfo, "slot", attributes...)
}

func (delivery *delivery) logSent(slot Slot, result broker.Result, response *sender.Response, err error) {
	attributes := []slog.Attr{
		slog.String("id", delivery.id), slog.String("upstream", slot.Upstream.ID), slog.String("address", slot.Upstream.Address),
		slog.String("outcome", string(result.Outcome)), slog.Float64("elapsedMs", milliseconds(result.Elapsed)),
		slog.Float64("leftMs", milliseconds(delivery.end.Sub(delivery.Clock.Now()))),
	}
	if response != nil {
		attributes = append(attributes, slog.Int("status", response.Status))
		if load := response.Metadata.Load; load != nil {
			attributes = append(attributes, slog.Int("running", load.Running), slog.Int("waiting", load.Waiting))
		}
	}
	if err != nil {
		attributes = append(attributes, slog.String("error", err.Error()))
	}
	delivery.Log.LogAttrs(context.Background(), slog.LevelInfo, "sent", attributes...)
}

func (delivery *delivery) logAnswer(ctx context.Context, answer *fronter.Response) {
	route, version := "", uint64(0)
	if delivery.table != nil {
		version = delivery.table.Config.Version
	}
	if delivery.route != nil {
		route = delivery.route.Name
	}
	elapsed := delivery.Clock.Now().Sub(delivery.request.ReceivedAt)
	delivery.Metrics.answer(route, answer.Status, elapsed)
	delivery.Log.LogAttrs(context.Background(), slog.LevelInfo, "answered",
		slog.String("id", delivery.id), slog.String("route", route), slog.Uint64("version", version), slog.String("service", delivery.service.Name),
		slog.Int("status", answer.Status), slog.String("reason", delivery.reason), slog.Int("sent", delivery.sent),
		slog.Bool("mayHaveRun", delivery.mayRun), slog.Bool("callerLeft", ctx.Err() != nil), slog.Float64("elapsedMs", milliseconds(elapsed)))
}
