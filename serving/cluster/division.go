package cluster

import "github.com/sycamorecourse/sycamorecourse/serving/limit"

// Division is one gateway's part of the limits and budgets that all gateways
// share.
type Division struct {
	// Gateways is the number of gateways that share them.
	Gateways int
	// Share is the part of each limit that an equal division gives a gateway, from 0 to 1, of
	// what others that may be cut off don't go on by. It is to be published; Limits has what
	// this gateway may use.
	Share float64
	// Limits is what is known of the use of customers' limits.
	Limits limit.Division
	// Stale reports that the gateway has read no records for so long that the
	// others may have taken over its part. Its part is reduced meanwhile.
	Stale bool
}
