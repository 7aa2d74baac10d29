package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// latencyBuckets are upper bounds in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 15}

// Outcomes of a question to another gateway that got no answer.
const (
	limitCallNotMade = "not_made"
	limitCallFailed  = "failed"
)

// metrics are the Prometheus metrics of requests.
type metrics struct {
	ended            *prometheus.CounterVec
	retried          prometheus.Counter
	broken           *prometheus.CounterVec
	rejected         *prometheus.CounterVec
	firstEvent       *prometheus.HistogramVec
	duration         *prometheus.HistogramVec
	open             prometheus.Gauge
	quarantined      prometheus.Gauge
	draining         *prometheus.CounterVec
	paused           prometheus.Counter
	unsolicitedCount prometheus.Counter
	promptTokens     *prometheus.GaugeVec
	asked, lent      *prometheus.CounterVec
	duties           *dutyMetrics
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_requests_ended_total",
			Help: "Requests that ended, by route and reason.",
		}, []string{"route", "reason"}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamore_requests_retried_total",
			Help: "Sends beyond the first of each request.",
		}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_attempts_broken_total",
			Help: "Attempts that broke off after they were sent, by route and whether the answer was just starting.",
		}, []string{"route", "starting"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_attempts_rejected_total",
			Help: "Attempts that an upstream said it has not run, by why, and whether the connection had carried the request before.",
		}, []string{"why", "repeats_id"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sycamore_first_event_seconds",
			Help:    "Time from a request's arrival to the first event of its answer, by route.",
			Buckets: latencyBuckets,
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sycamore_answer_seconds",
			Help:    "Time from a request's arrival to its end, by route.",
			Buckets: latencyBuckets,
		}, []string{"route"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sycamore_requests_open",
			Help: "Requests in progress.",
		}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sycamore_prompt_parts_quarantined",
			Help: "Prompt parts whose requests are refused since they crash upstreams.",
		}),
		draining: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamore_upstreams_draining_total",
			Help: "Upstreams that have said in an answer that they are leaving, by who got the answer.",
		}, []string{"source"}),
		paused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamore_upstream_pauses_total",
			Help: "Pauses that upstreams have asked for.",
		}),
		unsolicitedCount: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamore_upstream_unsolicited_total",
			Help: "Connections to upstreams that were closed since bytes came that belong to no request.",
		}),
		promptTokens: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sycamore_prompt_tokens",
			Help: "Prompt tokens of requests that ran since the start: all, and those believed to be cached.",
		}, []string{"what"}),
	}
	m.asked = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamore_limit_asks_total",
		Help: "Questions to other gateways about customers' limits, by what came of them.",
	}, []string{"outcome"})
	m.lent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamore_limit_lends_total",
		Help: "Questions of other gateways about customers' limits, by outcome.",
	}, []string{"outcome"})
	m.duties = newDutyMetrics(registry)
	registry.MustRegister(m.asked, m.lent, m.ended, m.retried, m.broken, m.rejected, m.firstEvent, m.duration, m.open, m.quarantined, m.draining, m.paused, m.unsolicitedCount, m.promptTokens)
	return m
}

func (m *metrics) record(n *relay.LogEntry) {
	if n.Event == relay.RequestRetried {
		m.retried.Inc()
		return
	}
	m.ended.WithLabelValues(n.Route, string(n.Reason)).Inc()
	m.duration.WithLabelValues(n.Route).Observe(n.Elapsed.Seconds())
	if n.TimeToFirstEvent > 0 {
		m.firstEvent.WithLabelValues(n.Route).Observe(n.TimeToFirstEvent.Seconds())
	}
}

func (m *metrics) recordBroken(n *relay.AttemptBroken) {
	m.broken.WithLabelValues(n.Route, strconv.FormatBool(n.Starting)).Inc()
}

func (m *metrics) recordAsk(outcome string) {
	m.asked.WithLabelValues(outcome).Inc()
}

func (m *metrics) recordLend(outcome string) {
	m.lent.WithLabelValues(outcome).Inc()
}

func (m *metrics) update(core *relay.Core, now clock.Instant) {
	counts := core.Counts()
	m.quarantined.Set(float64(core.QuarantinedParts(now)))
	m.open.Set(float64(core.OpenRequests()))
	m.promptTokens.WithLabelValues("all").Set(float64(counts.PromptTokens))
	m.promptTokens.WithLabelValues("cached").Set(float64(counts.CachedTokens))
}

// recordRejected counts an attempt that its upstream says it has not run.
func (m *metrics) recordRejected(why string, s httpc.Sent) {
	m.rejected.WithLabelValues(why, strconv.FormatBool(s.RepeatsID)).Inc()
}
