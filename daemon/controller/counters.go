package controller

import "github.com/prometheus/client_golang/prometheus"

// counters holds the metrics of the controller.
type counters struct {
	plans               prometheus.Counter
	confirmations       prometheus.Counter
	confirmationsFailed prometheus.Counter
	starts              prometheus.Counter
	ends                prometheus.Counter
	startsRefused       prometheus.Counter
	reclaimNotices      prometheus.Counter
	orders              prometheus.Counter
	cost                prometheus.Gauge
}

func newCounters(registry *prometheus.Registry) *counters {
	c := &counters{
		plans:               counter("sycamore_plans_total", "Plans made."),
		confirmations:       counter("sycamore_confirmations_total", "Confirmations answered as confirmed."),
		confirmationsFailed: counter("sycamore_confirmations_failed_total", "Confirmations that failed."),
		starts:              counter("sycamore_instance_starts_total", "Instances started."),
		ends:                counter("sycamore_instance_ends_total", "Instances ended."),
		startsRefused:       counter("sycamore_instance_starts_refused_total", "Starts of instances that the cloud refused."),
		reclaimNotices:      counter("sycamore_reclaim_notices_total", "Reclaim notices, without duplicates."),
		orders:              counter("sycamore_orders_total", "Orders sent to engines."),
		cost:                gauge("sycamore_fleet_micros_per_hour", "Price of all instances an hour, in millionths."),
	}
	registry.MustRegister(c.plans, c.confirmations, c.confirmationsFailed, c.starts, c.ends, c.startsRefused, c.reclaimNotices, c.orders, c.cost)
	return c
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
