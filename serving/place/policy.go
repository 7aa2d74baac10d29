package place

// Policy weighs the price of instances against the loss of a failure domain.
type Policy struct {
	// SurvivingShare is the part of the pool's replicas that must be left when
	// the largest failure domain is lost.
	SurvivingShare float64
	// ReclaimLoss is the expected cost an hour of reclaims for a pool whose
	// replicas are all reclaimable in one failure domain, as a part of the pool's
	// price for an hour. If only a part of them is, the cost is multiplied by the
	// square of that part.
	ReclaimLoss float64
	// DomainLoss is the same for failures of the domain, which stop the
	// on-demand instances too.
	DomainLoss float64
	// Hysteresis is the part of the price by which another option must be
	// cheaper before a running instance is replaced.
	Hysteresis float64
}

// DefaultPolicy returns the policy that the controllers use.
func DefaultPolicy() Policy {
	return Policy{SurvivingShare: 2.0 / 3, ReclaimLoss: 0.25, DomainLoss: 0.05, Hysteresis: 0.1}
}
