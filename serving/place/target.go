package place

// Target is the wanted placement of a pool.
type Target struct {
	// Groups are the wanted instances by option.
	Groups []Group `json:"groups"`
	// Unplaced is the number of replicas for which there was no option.
	Unplaced int `json:"short"`
	// Survivors is the number of replicas left when the largest failure domain
	// is lost.
	Survivors int `json:"survivors"`
	// SurvivorsWanted is the number that must be left by the policy.
	SurvivorsWanted int `json:"survivors_wanted"`
}

// Total returns the number of wanted instances.
func (t *Target) Total() int {
	total := 0
	for _, g := range t.Groups {
		total += g.Count
	}
	return total
}

// MicrosPerHour returns the price of all wanted instances.
func (t *Target) MicrosPerHour() int64 {
	var cost int64
	for _, g := range t.Groups {
		cost += int64(g.Count) * g.MicrosPerHour
	}
	return cost
}

// Count returns the wanted number of instances of an option.
func (t *Target) Count(o Option) int {
	for _, g := range t.Groups {
		if g.Option == o {
			return g.Count
		}
	}
	return 0
}

// InDomain returns the wanted number of instances in a failure domain.
func (t *Target) InDomain(domain string) int {
	count := 0
	for _, g := range t.Groups {
		if g.FailureDomain == domain {
			count += g.Count
		}
	}
	return count
}
