package cluster

// Division is one gateway's part of the limits and budgets that all gateways
// share.
type Division struct {
	// Gateways is the number of gateways that share them.
	Gateways int
	// Shares is the gateway's part of the limit of each customer, from 0 to 1. The
	// limit of a customer that is missing here is divided evenly.
	Shares map[string]float64
	// Demand is the demand of each customer over all gateways, per second, in the
	// unit of its limit.
	Demand map[string]float64
	// Stale reports that the gateway has read no records for so long that the
	// others may have taken over its part. Its part is reduced meanwhile.
	Stale bool
	// WasStale reports that the division was stale until the last read.
	WasStale bool
}
