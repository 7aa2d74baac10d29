package roster

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// lapse is an upstream that stays for a while without an entry.
type lapse struct {
	upstream *catalog.Upstream
	until    clock.Instant
}
