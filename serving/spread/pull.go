package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// pull is an unanswered Ask. The zero value is none.
type pull struct {
	from     string
	deadline clock.Instant
}

func (p *pull) isPending(now clock.Instant) bool {
	return p.from != "" && now.Before(p.deadline)
}
