package spread

// Action is something that a Node asks its caller to do: a Send, DropLink,
// SetTargets, ConfigurationChanged, FleetChanged or MembersChanged.
type Action interface {
	isAction()
}
