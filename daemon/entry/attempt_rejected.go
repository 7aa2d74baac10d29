package entry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Why an upstream has not run an attempt.
const (
	rejectedMisdirected = "misdirected"
	rejectedNotRun      = "not_run"
)

// logRejected logs an attempt that its upstream says it has not run, and how it was sent,
// which tells whether the response can be that to another send.
func (d *dispatcher) logRejected(o *openRequest, m *attemptUpdate, now clock.Instant) {
	why := rejectedNotRun
	if m.head.Misdirected {
		why = rejectedMisdirected
	}
	d.metrics.recordRejected(why, m.sent)
	d.log.Info().Str("id", o.id()).Int("attempt", m.ref.Attempt).Str("why", why).Int("status", m.head.Status).
		Str("address", m.sent.Address).Uint64("connection", m.sent.Connection).Int("connection_calls", m.sent.Calls).Bool("repeats_id", m.sent.RepeatsID).Int("connections_skipped", m.sent.Skipped).
		Int64("answer_us", now.Sub(m.sent.At).Microseconds()).Msg("attempt_rejected")
}
