package entry

import "github.com/rs/zerolog"

// unsolicited returns the function that reports connections to upstreams on which
// bytes came that belong to no request.
func (m *metrics) unsolicited(log zerolog.Logger) func(address string) {
	return func(address string) {
		m.unsolicitedCount.Inc()
		log.Warn().Str("address", address).Msg("unsolicited_bytes")
	}
}
