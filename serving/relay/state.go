package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// state is one request in progress.
type state struct {
	request  Request
	route    *catalog.Route
	customer *catalog.Customer
	pool     *pool
	arrived  clock.Instant
	limit    clock.Instant // when the caller must have its last word

	attempts  int // sent so far
	ran       int // attempts that an upstream may have run
	attempt   *attempt
	tried     []*member
	mayHave   bool // an upstream may have run it
	began     bool // the caller has the head of a stream
	lastEvent int64
	first     clock.Instant // of the first event; 0 for none
	abandoned bool
	status    int
	detail    string
	upstream  string
	predicted prediction
}

func (s *state) ref() Ref {
	return Ref{Handle: s.request.Handle, Attempt: s.attempts}
}
