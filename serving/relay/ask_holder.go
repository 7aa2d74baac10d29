package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// AskHolder asks another gateway whether a customer's limit admits a request. The
// answer is reported by LimitAnswered, or its lack by HolderFailed.
type AskHolder struct {
	// Handle is the request, which waits.
	Handle Handle
	// Holder is the gateway to ask.
	Holder limit.Holder
	// Customer names the customer, and Amount is the cost of the request in the unit of
	// its limit.
	Customer string
	Amount   float64
	// Timeout is the time after which the gateway has failed.
	Timeout time.Duration
}

func (AskHolder) isAction() {}
