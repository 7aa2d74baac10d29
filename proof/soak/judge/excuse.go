package judge

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
)

// Excuse is a time in which a gateway that has started anew can't know what a restored store
// has lost.
type Excuse struct {
	// Gateway is its address.
	Gateway string
	// From and To bound the time.
	From, To time.Time
}

// covers reports whether a request was sent to that gateway in that time.
func (e Excuse) covers(r load.Record) bool {
	return r.Gateway == e.Gateway && !r.Start.Before(e.From) && r.Start.Before(e.To)
}
