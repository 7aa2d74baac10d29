package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// limitsStored reports that the store has this gateway's record, with the given reserves
// and as of the given totals of use.
type limitsStored struct {
	spent     map[string]float64
	reserves  map[string]limit.Reserve
	countedAt clock.Instant
}

func (limitsStored) isDispatchMessage() {}
