package controller

import "github.com/prometheus/client_golang/prometheus"

// counters are the metrics of the controller.
type counters struct {
	plans     prometheus.Counter
	confirmed prometheus.Counter
	refused   prometheus.Counter
	started   prometheus.Counter
	ended     prometheus.Counter
	rejected  prometheus.Counter
	reclaims  prometheus.Counter
	orders    prometheus.Counter
	cost      prometheus.Gauge
}

func newCounters(registry *prometheus.Registry) *counters {
	c := &counters{
		plans:     counter("sycamore_plans_total", "Plans made."),
		confirmed: counter("sycamore_confirmations_total", "Confirmations answered as confirmed."),
		refused:   counter("sycamore_confirmations_failed_total", "Confirmations that failed."),
		started:   counter("sycamore_instance_starts_total", "Instances started."),
		ended:     counter("sycamore_instance_ends_total", "Instances ended."),
		rejected:  counter("sycamore_instance_starts_refused_total", "Starts of instances that the cloud refused."),
		reclaims:  counter("sycamore_reclaim_notices_total", "Reclaim notices, without duplicates."),
		orders:    counter("sycamore_orders_total", "Orders sent to engines."),
		cost:      gauge("sycamore_fleet_micros_per_hour", "Price of all instances an hour, in millionths."),
	}
	registry.MustRegister(c.plans, c.confirmed, c.refused, c.started, c.ended, c.rejected, c.reclaims, c.orders, c.cost)
	return c
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
