package quarantine

import "time"

// Evidence is what is known of one part of prompts. Its times are readings of one
// clock; 0 stands for never.
type Evidence struct {
	// Part is the ID of the part.
	Part uint64 `cbor:"1,keyasint"`
	// Service names the service whose upstreams crashed.
	Service string `cbor:"2,keyasint"`
	// Depth is the number of parts before it in a prompt.
	Depth int `cbor:"3,keyasint,omitempty"`
	// Crashes are those since SucceededAt.
	Crashes []Crash `cbor:"4,keyasint,omitempty"`
	// SucceededAt is when a prompt with the part was last answered.
	SucceededAt time.Duration `cbor:"5,keyasint,omitempty"`
	// QuarantinedAt and QuarantinedUntil are the begin and the end of the latest
	// quarantine.
	QuarantinedAt    time.Duration `cbor:"6,keyasint,omitempty"`
	QuarantinedUntil time.Duration `cbor:"7,keyasint,omitempty"`
	// Quarantines is the number of quarantines so far.
	Quarantines int `cbor:"8,keyasint,omitempty"`
	// ProbedAt is when a request with the part was last let through as a probe.
	ProbedAt time.Duration `cbor:"9,keyasint,omitempty"`
}

// Shift returns the evidence with its times moved by d, from one clock to another.
func (e Evidence) Shift(d time.Duration) Evidence {
	crashes := make([]Crash, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		crashes = append(crashes, Crash{Upstream: c.Upstream, At: shift(c.At, d)})
	}
	e.Crashes = crashes
	for _, at := range []*time.Duration{&e.SucceededAt, &e.QuarantinedAt, &e.QuarantinedUntil, &e.ProbedAt} {
		*at = shift(*at, d)
	}
	return e
}

// shift moves a time; 0 stays 0.
func shift(at, d time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at + d
}
