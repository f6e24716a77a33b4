package linker

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of a Server and a Pool. It implements
// prometheus.Collector.
type Metrics struct {
	bytes      *prometheus.CounterVec
	links      *prometheus.GaugeVec
	handshakes *prometheus.CounterVec
	violations prometheus.Counter
	failures   *prometheus.CounterVec
	control    byteCounters
	request    byteCounters
}

// byteCounters counts the bytes of one kind of link.
type byteCounters struct{ read, written prometheus.Counter }

// NewMetrics returns metrics that are not yet registered.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_link_bytes_total", Help: "Bytes on links after the handshake, by kind of link and direction.",
		}, []string{"link", "direction"}),
		links: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminstream_links", Help: "Open links, by kind and side.",
		}, []string{"link", "side"}),
		handshakes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_link_handshakes_total", Help: "Handshakes, by side and result.",
		}, []string{"side", "result"}),
		violations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminstream_link_protocol_violations_total", Help: "Links closed because of a message that the protocol does not allow.",
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_link_forward_failures_total", Help: "Forwarded requests that ended with a failed link, by error kind.",
		}, []string{"kind"}),
	}
	metrics.control = metrics.newByteCounters(controlLink)
	metrics.request = metrics.newByteCounters(requestLink)
	return metrics
}

func (metrics *Metrics) newByteCounters(kind linkKind) byteCounters {
	return byteCounters{metrics.bytes.WithLabelValues(string(kind), "read"), metrics.bytes.WithLabelValues(string(kind), "written")}
}

func (metrics *Metrics) byteCounters(kind linkKind) byteCounters {
	if kind == controlLink {
		return metrics.control
	}
	return metrics.request
}

// Describe implements prometheus.Collector.
func (metrics *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, collector := range metrics.collectors() {
		collector.Describe(descriptions)
	}
}

// Collect implements prometheus.Collector.
func (metrics *Metrics) Collect(values chan<- prometheus.Metric) {
	for _, collector := range metrics.collectors() {
		collector.Collect(values)
	}
}

func (metrics *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{metrics.bytes, metrics.links, metrics.handshakes, metrics.violations, metrics.failures}
}
