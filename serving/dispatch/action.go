package dispatch

// Action is something that the owner of a Core has to do: Accept, Attach,
// Refuse, Deliver, Finish, Forget, Send, Reattach, Abort, WriteRows, ReadRow or
// Note.
type Action interface {
	isAction()
}
