package link

// event is what the links duty takes: accepted, dialed, introduced, ended,
// targetsSet or dropAsked.
type event interface {
	isEvent()
}
