package allocator

import "github.com/prometheus/client_golang/prometheus"

var (
	coldUpstreams  = prometheus.NewDesc("cuminstream_cold_upstreams", "Upstreams that are warming up and get few requests, as this VM knows it.", []string{"service"}, nil)
	warmupLimited  = prometheus.NewDesc("cuminstream_warmup_limited_total", "Requests for keys of cold upstreams that this VM, deciding as broker or in local mode, made wait or refused because of the warm-up bound.", []string{"service"}, nil)
	evacuatedZones = prometheus.NewDesc("cuminstream_evacuated_zones", "Zones that are being evacuated, as this VM knows it.", nil, nil)
)

// Describe implements prometheus.Collector.
func (allocator *Allocator) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- coldUpstreams
	descriptions <- warmupLimited
	descriptions <- evacuatedZones
}

// Collect implements prometheus.Collector.
func (allocator *Allocator) Collect(metrics chan<- prometheus.Metric) {
	allocator.mutex.Lock()
	zones := len(allocator.evacuatedZones)
	allocator.mutex.Unlock()
	metrics <- prometheus.MustNewConstMetric(evacuatedZones, prometheus.GaugeValue, float64(zones))
	for _, service := range allocator.allServices() {
		stats := service.broker.WarmupStats()
		metrics <- prometheus.MustNewConstMetric(coldUpstreams, prometheus.GaugeValue, float64(len(stats.Cold)), service.name)
		metrics <- prometheus.MustNewConstMetric(warmupLimited, prometheus.CounterValue, float64(stats.Limited), service.name)
	}
}
