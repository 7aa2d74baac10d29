package roster

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// departure is the end of an upstream's entry in the store.
type departure struct {
	at clock.Instant
	// wasLeaving is set if the entry had said that the upstream is leaving.
	wasLeaving bool
}
