package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// pendingOffer is a request that was offered to another gateway and not
// replied to yet.
type pendingOffer struct {
	id       request.ID
	peer     string
	deadline clock.Instant
}
