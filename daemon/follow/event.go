package follow

// event is a message to the duty: awaitRequest, configurationPublished,
// dumpRequest, fleetPublished, linkDown, linkUp, messageReceived,
// noticesPublished or stateSet.
type event interface {
	isEvent()
}
