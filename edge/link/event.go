package link

// event is what the links duty takes: accepted, dialed, introduced, ended,
// targetsSet, dropAsked or statusAsked.
type event interface {
	isEvent()
}
