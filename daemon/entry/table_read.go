package entry

import "github.com/sycamorecourse/sycamorecourse/serving/exchange"

// tableRead is what the store has returned for a followed table; failed is set if
// the call failed.
type tableRead struct {
	update exchange.TableUpdate
	failed bool
}

func (tableRead) isPeerMessage() {}
