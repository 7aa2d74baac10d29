package link

// targetsChanged is the event of a call to Links.SetTargets.
type targetsChanged struct {
	targets []Target
}

func (targetsChanged) isEvent() {}
