package follow

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the follow duty.
type metrics struct {
	configuration  prometheus.Gauge
	fleetEpoch     prometheus.Gauge
	fleetSequence  prometheus.Gauge
	members        *prometheus.GaugeVec
	dropped        prometheus.Counter
	unsent         prometheus.Counter
	updates        prometheus.Counter
	updatesRefused prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		configuration:  gauge("sycamore_configuration_version", "Version of the configuration in force."),
		fleetEpoch:     gauge("sycamore_fleet_epoch", "Fencing number under which the view of the fleet was made."),
		fleetSequence:  gauge("sycamore_fleet_sequence", "Number of changes of the fleet within its epoch."),
		members:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sycamore_members", Help: "Known processes."}, []string{"role", "state"}),
		dropped:        counter("sycamore_follow_messages_dropped_total", "Received messages dropped because the inbox was full."),
		unsent:         counter("sycamore_follow_messages_unsent_total", "Messages that no link took."),
		updates:        counter("sycamore_follow_updates_total", "Updates taken by the owner."),
		updatesRefused: counter("sycamore_follow_updates_refused_total", "Updates that the owner had no room for."),
	}
	if registry != nil {
		registry.MustRegister(m.configuration, m.fleetEpoch, m.fleetSequence, m.members,
			m.dropped, m.unsent, m.updates, m.updatesRefused)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
