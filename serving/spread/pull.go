package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// pull tracks an unanswered SyncRequest. In the zero value there is none.
type pull struct {
	// from is the ID of the peer asked; empty if there is none.
	from     string
	deadline clock.Instant
}

func (p *pull) isPending(now clock.Instant) bool {
	return p.from != "" && now.Before(p.deadline)
}
