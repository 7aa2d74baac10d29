package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// transitionTime is how long the first holders of a limit wait for the others, so that
// all begin at the same time.
const transitionTime = time.Second

// activation is when the holders of a limit begin to admit requests by themselves, the
// first one and the last. Both are 0 if there is none.
type activation struct {
	first, last clock.Instant
}

// add adds a holder.
func (a *activation) add(from clock.Instant) {
	if a.last == 0 || from.Before(a.first) {
		a.first = from
	}
	a.last = max(a.last, from)
}

// isDone reports whether holders admit requests. Until then every gateway keeps to its
// share.
func (a activation) isDone(now clock.Instant) bool {
	return a.last != 0 && !now.Before(min(a.last, a.first.Add(transitionTime)))
}
