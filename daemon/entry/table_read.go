package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// tableRead is what the store has returned for a followed table, and when that was
// current; failed is set if the call failed.
type tableRead struct {
	update      exchange.TableUpdate
	confirmedAt clock.Instant
	failed      bool
}

func (tableRead) isPeerMessage() {}
