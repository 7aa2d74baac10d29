package link

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of all links of a process.
type metrics struct {
	links            prometheus.Gauge
	messagesSent     prometheus.Counter
	messagesReceived prometheus.Counter
	bytesSent        prometheus.Counter
	bytesReceived    prometheus.Counter
	refused          prometheus.Counter
	dialsFailed      prometheus.Counter
	ended            prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		links:            gauge("sycamore_links", "Links that are up."),
		messagesSent:     counter("sycamore_link_messages_sent_total", "Messages sent on links."),
		messagesReceived: counter("sycamore_link_messages_received_total", "Messages received on links."),
		bytesSent:        counter("sycamore_link_bytes_sent_total", "Bytes of messages sent on links, before encryption."),
		bytesReceived:    counter("sycamore_link_bytes_received_total", "Bytes of messages received on links, after decryption."),
		refused:          counter("sycamore_link_messages_refused_total", "Messages refused because an outbound ring was full."),
		dialsFailed:      counter("sycamore_link_dials_failed_total", "Failed attempts to connect."),
		ended:            counter("sycamore_links_ended_total", "Links that have ended."),
	}
	if registry != nil {
		registry.MustRegister(m.links, m.messagesSent, m.messagesReceived, m.bytesSent,
			m.bytesReceived, m.refused, m.dialsFailed, m.ended)
	}
	return m
}

func (m *metrics) sent(bytes uint64) {
	m.messagesSent.Inc()
	m.bytesSent.Add(float64(bytes))
}

func (m *metrics) received(bytes uint64) {
	m.messagesReceived.Inc()
	m.bytesReceived.Add(float64(bytes))
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
