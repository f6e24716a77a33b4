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

// Metrics counts and times the answers to callers and the attempts at upstreams.
type Metrics struct {
	answers        *prometheus.CounterVec
	answerSeconds  *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	attemptSeconds *prometheus.HistogramVec
	notices        *prometheus.CounterVec
}

// latencyBuckets range from a fast refusal to the longest timeouts, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 3, 5, 8}

// NewMetrics creates and registers the metrics of a Forwarder.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_answers_total", Help: "Answers to callers, by route and status.",
		}, []string{"route", "status"}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstream_answer_seconds", Help: "Time from the header of a request to its answer, by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_attempts_total", Help: "Requests sent to upstreams, by service and outcome.",
		}, []string{"service", "outcome"}),
		attemptSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstream_attempt_seconds", Help: "Time from the send to the end of an attempt, by service.", Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	metrics.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_upstream_notices_total", Help: "Responses in which upstreams say that they are leaving or busy, by service and notice.",
	}, []string{"service", "notice"})
	registerer.MustRegister(metrics.answers, metrics.answerSeconds, metrics.attempts, metrics.attemptSeconds, metrics.notices)
	return metrics
}

func (metrics *Metrics) observeAttempt(service string, result broker.Result) {
	if metrics == nil {
		return
	}
	metrics.attempts.WithLabelValues(service, string(result.Outcome)).Inc()
	metrics.attemptSeconds.WithLabelValues(service).Observe(result.Elapsed.Seconds())
}

func (metrics *Metrics) countNotice(service string, notice broker.Notice) {
	if metrics == nil {
		return
	}
	if notice.Leaving {
		metrics.notices.WithLabelValues(service, "leaving").Inc()
	}
	if notice.BusyFor > 0 {
		metrics.notices.WithLabelValues(service, "busy").Inc()
	}
}

func (metrics *Metrics) observeAnswer(route string, status int, elapsed time.Duration) {
	if metrics == nil {
		return
	}
	metrics.answers.WithLabelValues(route, strconv.Itoa(status)).Inc()
	metrics.answerSeconds.WithLabelValues(route).Observe(elapsed.Seconds())
}

// milliseconds converts a duration to the unit of the log attributes.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (exchange *exchange) logSlot(slot Slot) {
	attributes := []slog.Attr{
		slog.String("id", exchange.id), slog.String("service", exchange.service.Name), slog.Int("key", exchange.key),
		slog.String("broker", slot.Broker), slog.Uint64("term", slot.Term), slog.Int("queue", slot.QueueLength),
		slog.Float64("waitedMs", milliseconds(slot.Waited)), slog.Int("sentBefore", exchange.sentAttempts),
	}
	if exchange.sentAgo > 0 {
		attributes = append(attributes, slog.Float64("firstSentAgoMs", milliseconds(exchange.sentAgo)))
	}
	if slot.Refusal != "" {
		attributes = append(attributes, slog.String("refused", string(slot.Refusal)), slog.Float64("retryAfterMs", milliseconds(slot.RetryAfter)))
		if slot.Rule != "" {
			attributes = append(attributes, slog.String("rule", string(slot.Rule)))
		}
	} else {
		attributes = append(attributes, slog.String("upstream", slot.Upstream.ID), slog.Uint64("ticket", slot.Ticket))
	}
	exchange.Log.LogAttrs(context.Background(), slog.LevelInfo, "slot", attributes...)
}

func (exchange *exchange) logSent(slot Slot, result broker.Result, response *sender.Response, err error) {
	attributes := []slog.Attr{
		slog.String("id", exchange.id), slog.String("upstream", slot.Upstream.ID), slog.String("address", slot.Upstream.Address),
		slog.String("outcome", string(result.Outcome)), slog.Float64("elapsedMs", milliseconds(result.Elapsed)),
		slog.Float64("leftMs", milliseconds(exchange.deadline.Sub(exchange.Clock.Now()))),
	}
	if response != nil {
		attributes = append(attributes, slog.Int("status", response.Status))
		if value := response.Metadata.InvalidRetryAfter; value != "" {
			attributes = append(attributes, slog.String("ignoredRetryAfter", value))
		}
		if load := response.Metadata.Load; load != nil {
			attributes = append(attributes, slog.Int("running", load.Running), slog.Int("waiting", load.Waiting), slog.Float64("slowness", load.Slowness))
		}
	}
	if err != nil {
		attributes = append(attributes, slog.String("error", err.Error()))
	}
	exchange.Log.LogAttrs(context.Background(), slog.LevelInfo, "sent", attributes...)
}

// logBroken logs that a streamed body ended early, after logSent has logged its head.
func (exchange *exchange) logBroken(slot Slot, err error) {
	exchange.Log.LogAttrs(context.Background(), slog.LevelInfo, "response ended early",
		slog.String("id", exchange.id), slog.String("upstream", slot.Upstream.ID), slog.String("address", slot.Upstream.Address), slog.String("error", err.Error()))
}

func (exchange *exchange) logAnswer(ctx context.Context, answer *fronter.Response) {
	route, version := "", uint64(0)
	if exchange.table != nil {
		version = exchange.table.Config.Version
	}
	if exchange.route != nil {
		route = exchange.route.Name
	}
	elapsed := exchange.Clock.Now().Sub(exchange.request.ReceivedAt)
	exchange.Metrics.observeAnswer(route, answer.Status, elapsed)
	exchange.Log.LogAttrs(context.Background(), slog.LevelInfo, "answered",
		slog.String("id", exchange.id), slog.String("route", route), slog.Uint64("version", version), slog.String("service", exchange.service.Name),
		slog.Int("status", answer.Status), slog.String("reason", exchange.reason), slog.Int("sent", exchange.sentAttempts),
		slog.Bool("mayHaveRun", exchange.mayHaveRun), slog.Bool("callerLeft", ctx.Err() != nil), slog.Float64("elapsedMs", milliseconds(elapsed)))
}
