package entry

import (
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// limitAnswered is the reply of another gateway about a request, or its failure.
type limitAnswered struct {
	handle   relay.Handle
	instance string
	reply    exchange.LimitReply
	err      error
}

func (limitAnswered) isDispatchMessage() {}
