package roster

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// withheldEntry is an entry of a restored store that is not believed until usableAt, since
// a later state of it was known before.
type withheldEntry struct {
	upstream *catalog.Upstream
	usableAt clock.Instant
}
