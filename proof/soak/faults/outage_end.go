package faults

// outageEnd is when an outage ends.
type outageEnd int

// The moments.
const (
	beforeDrill outageEnd = iota
	duringDrill
	afterDrill
	outageEnds
)
