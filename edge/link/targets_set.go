package link

// targetsSet replaces the targets.
type targetsSet struct {
	targets []Target
}

func (targetsSet) isEvent() {}
