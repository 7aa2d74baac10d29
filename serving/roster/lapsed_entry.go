package roster

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// lapsedEntry is an upstream that stays usable without an entry until
// expiresAt.
type lapsedEntry struct {
	upstream  *catalog.Upstream
	expiresAt clock.Instant
	// isLost is set if all that is known is that a copy, from which the store was restored,
	// lacks the entry.
	isLost bool
}
