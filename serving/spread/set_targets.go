package spread

// SetTargets says which processes to be linked to, in place of earlier ones.
type SetTargets struct {
	// Targets are in no order.
	Targets []Target
}

func (SetTargets) isAction() {}
