package confirm

// Confirmed reports that the plan has taken effect, by this confirmation or an
// earlier one.
type Confirmed struct {
	// Configuration is the version that the plan became.
	Configuration Configuration
}

func (Confirmed) isStep() {}
