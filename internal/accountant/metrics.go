package accountant

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the refusals and evictions of an account.
type Metrics struct {
	refusals  *prometheus.CounterVec
	evictions *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics of the account, which it then has.
func NewMetrics(registerer prometheus.Registerer, account *Account) *Metrics {
	metrics := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_account_refusals_total", Help: "Requests and connections of callers that were refused, by the bound that they met.",
		}, []string{"reason"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstream_account_evictions_total", Help: "Uploads and connections of callers that were ended to free memory or descriptors, by reason.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(metrics.refusals, metrics.evictions)
	for use := range useCount {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cuminstream_account_bytes", Help: "Bytes that are held for callers, by use.", ConstLabels: prometheus.Labels{"use": use.String()},
		}, func() float64 { return float64(account.Used(use)) }))
	}
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminstream_account_kernel_bytes", Help: "Bytes that the kernel holds on callers' connections; 0 while these are too few to exceed the bound.",
	}, func() float64 { return float64(account.Kernel()) }))
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminstream_account_limit_bytes", Help: "Bound of all bytes that are held for callers.",
	}, func() float64 { return float64(account.Limits.Total) }))
	account.Metrics = metrics
	return metrics
}

func (metrics *Metrics) countRefusal(reason Reason) {
	if metrics != nil {
		metrics.refusals.WithLabelValues(string(reason)).Inc()
	}
}

func (metrics *Metrics) countEviction(reason Reason) {
	if metrics != nil {
		metrics.evictions.WithLabelValues(string(reason)).Inc()
	}
}
