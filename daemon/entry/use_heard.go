package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// useHeard is the response of another holder of limits to the news of this one, or its
// failure.
type useHeard struct {
	instance string
	sentAt   clock.Instant
	news     exchange.HolderNews
	err      error
}

func (useHeard) isDispatchMessage() {}
