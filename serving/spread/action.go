package spread

// Action is what a Node wants done: Send, Drop, SetTargets,
// ConfigurationChanged, FleetChanged or MembersChanged.
type Action interface {
	isAction()
}
