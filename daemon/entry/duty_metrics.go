package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// The singleton duties, as labels of metrics.
const (
	dutyUsage  = "usage"
	dutyOrders = "orders"
)

// dutyMetrics are the metrics of the singleton duties and of the store that they rely on.
type dutyMetrics struct {
	acquired *prometheus.CounterVec
	refused  *prometheus.CounterVec
	timeline prometheus.Gauge
	restores prometheus.Counter
	updates  *prometheus.CounterVec
	catchUps *prometheus.CounterVec
}

func newDutyMetrics(registry *prometheus.Registry) *dutyMetrics {
	d := &dutyMetrics{
		acquired: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_duties_acquired_total",
			Help: "Times that this gateway became the holder of the singleton duties, by why it could.",
		}, []string{"cause"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_duties_refused_total",
			Help: "Calls of singleton duties that the cloud API refused for their fencing number, or orders for a lack of supply.",
		}, []string{"duty"}),
		timeline: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sycamore_store_timeline",
			Help: "Timeline of the store: rises by one each time that the store is restored from an older copy; 0 if it does not tell.",
		}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamore_store_restores_total",
			Help: "Changes of the store's timeline that this process has seen.",
		}),
		updates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_table_updates_total",
			Help: "Updates of the followed tables by the store or a hub, by table and verdict.",
		}, []string{"table", "verdict"}),
	}
	d.catchUps = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamore_catch_up_asks_total",
		Help: "Questions to other gateways for what a restored store may have lost, by what came of them.",
	}, []string{"outcome"})
	registry.MustRegister(d.acquired, d.refused, d.timeline, d.restores, d.updates, d.catchUps)
	return d
}

func (m *metrics) recordAcquired(cause lease.Cause) {
	m.duties.acquired.WithLabelValues(string(cause)).Inc()
}

func (m *metrics) recordRefused(duty string) {
	m.duties.refused.WithLabelValues(duty).Inc()
}

func (m *metrics) recordTableUpdate(table string, verdict exchange.Verdict) {
	m.duties.updates.WithLabelValues(table, string(verdict)).Inc()
}

func (m *metrics) recordCatchUp(outcome string) {
	m.duties.catchUps.WithLabelValues(outcome).Inc()
}

func (m *metrics) recordTimeline(t rows.TimelineChange) {
	m.duties.timeline.Set(float64(t.Present))
	if t.Former > 0 {
		m.duties.restores.Inc()
	}
}
