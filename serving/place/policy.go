package place

// Policy weighs cost against the loss of a failure domain.
type Policy struct {
	// SurvivingShare is the part of the pool's replicas that must be left when
	// the largest failure domain is lost.
	SurvivingShare float64
	// ReclaimLoss is what the reclaim of a whole pool in one failure domain
	// costs, as a part of its price for an hour.
	ReclaimLoss float64
	// DomainLoss is the same for the failure of the domain, which takes the
	// on-demand instances too.
	DomainLoss float64
	// Hysteresis is the part of the price by which another option must be
	// cheaper before a running instance is replaced.
	Hysteresis float64
}

// DefaultPolicy returns the policy of the controllers.
func DefaultPolicy() Policy {
	return Policy{SurvivingShare: 2.0 / 3, ReclaimLoss: 0.25, DomainLoss: 0.05, Hysteresis: 0.1}
}
