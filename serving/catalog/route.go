package catalog

import "time"

// Route says what becomes of the requests of a host below a path.
type Route struct {
	// Name names the route.
	Name string
	// Host is the host name that callers ask for.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Resumable streams may go on at another upstream after the last event that
	// the caller has.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time within which the answer, or its first event, is wanted.
	Target time.Duration
	// GapTarget is the longest pause between two events that is still on time.
	GapTarget time.Duration
	// Rank orders requests when capacity is short: 0 goes first.
	Rank int
	// Portions are the services that may run the requests, by weight.
	Portions []Portion
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int
	// Public routes need no credential.
	Public bool
	// Affine requests are best sent to an upstream that has their prompt.
	Affine bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}
