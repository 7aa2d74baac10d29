package entry

import "github.com/sycamorecourse/sycamorecourse/serving/exchange"

// caughtUp is the outcome of asking another gateway, in a timeline of the store, for what the
// store may have lost.
type caughtUp struct {
	instance string
	timeline uint64
	reply    exchange.CatchUpReply
	err      error
}
