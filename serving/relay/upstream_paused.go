package relay

import "time"

// UpstreamPaused reports that an upstream wants no requests for some time, for the
// log.
type UpstreamPaused struct {
	// Upstream is the ID of the upstream.
	Upstream string
	// For is the time.
	For time.Duration
	// Ignored is true if the time can't be read or is too long.
	Ignored bool
}

func (UpstreamPaused) isAction() {}
