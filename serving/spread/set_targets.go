package spread

// SetTargets is the Action to replace the set of processes to keep links to.
type SetTargets struct {
	// Targets are in no particular order.
	Targets []Target
}

func (SetTargets) isAction() {}
