package follow

// event is what the duty takes: linkUp, linkDown, received,
// configurationPublished, fleetPublished, stateSet, awaited or dumpAsked.
type event interface {
	isEvent()
}
