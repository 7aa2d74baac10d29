package cluster

// Division says how what all gateways share is divided, for one of them.
type Division struct {
	// Gateways is among how many.
	Gateways int
	// Shares are its parts of the limits of customers, 0 to 1; those that are not
	// named are divided evenly.
	Shares map[string]float64
	// Demand is what each customer asks of all gateways, in its unit a second.
	Demand map[string]float64
	// Stale is true when nothing was read for so long that the others may have taken
	// over its parts. They are small then.
	Stale bool
	// Returned is true when it was so before the last read.
	Returned bool
}
