package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// metrics counts the requests of the gateway.
type metrics struct {
	outcomes *prometheus.GaugeVec
	events   *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		outcomes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sycamore_requests",
			Help: "Requests since the start, by what became of them.",
		}, []string{"what"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_request_events_total",
			Help: "Events of requests, by name.",
		}, []string{"event"}),
	}
	registry.MustRegister(m.outcomes, m.events)
	return m
}

func (m *metrics) setCounts(c dispatch.Counts) {
	m.outcomes.WithLabelValues("arrived").Set(float64(c.Arrived))
	m.outcomes.WithLabelValues("accepted").Set(float64(c.Accepted))
	m.outcomes.WithLabelValues("attached").Set(float64(c.Attached))
	m.outcomes.WithLabelValues("refused").Set(float64(c.Refused))
	m.outcomes.WithLabelValues("completed").Set(float64(c.Completed))
	m.outcomes.WithLabelValues("not_run").Set(float64(c.NotRun))
	m.outcomes.WithLabelValues("unknown").Set(float64(c.Unknown))
	m.outcomes.WithLabelValues("attempts").Set(float64(c.Attempts))
	m.outcomes.WithLabelValues("retries").Set(float64(c.Retries))
	m.outcomes.WithLabelValues("moved").Set(float64(c.Moved))
	m.outcomes.WithLabelValues("recomputed_tokens").Set(float64(c.RecomputedTokens))
	m.outcomes.WithLabelValues("tokens").Set(float64(c.Tokens))
}

func (m *metrics) countEvent(event dispatch.Event) {
	m.events.WithLabelValues(string(event)).Inc()
}
