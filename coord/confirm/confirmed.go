package confirm

// Confirmed says that the plan has taken effect, now or by an earlier
// confirmation.
type Confirmed struct {
	// Configuration is the version that it became.
	Configuration Configuration
}

func (Confirmed) isStep() {}
