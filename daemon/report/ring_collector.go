package report

import "github.com/prometheus/client_golang/prometheus"

var (
	ringDepth    = prometheus.NewDesc("sycamore_ring_depth", "Values waiting in a ring.", []string{"ring"}, nil)
	ringCapacity = prometheus.NewDesc("sycamore_ring_capacity", "Slots of a ring.", []string{"ring"}, nil)
	ringRefused  = prometheus.NewDesc("sycamore_ring_refused_total", "Offers that failed because a ring was full.", []string{"ring"}, nil)
)

// ringCollector exports the rings of a report as metrics.
type ringCollector struct {
	report *Report
}

// Describe implements prometheus.Collector.
func (c *ringCollector) Describe(out chan<- *prometheus.Desc) {
	out <- ringDepth
	out <- ringCapacity
	out <- ringRefused
}

// Collect implements prometheus.Collector.
func (c *ringCollector) Collect(out chan<- prometheus.Metric) {
	for _, stats := range c.report.rings {
		s := stats()
		out <- prometheus.MustNewConstMetric(ringDepth, prometheus.GaugeValue, float64(s.Depth), s.Name)
		out <- prometheus.MustNewConstMetric(ringCapacity, prometheus.GaugeValue, float64(s.Capacity), s.Name)
		out <- prometheus.MustNewConstMetric(ringRefused, prometheus.CounterValue, float64(s.Refused), s.Name)
	}
}
