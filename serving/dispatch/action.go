package dispatch

// Action is something that the owner of a Core has to do: Accept, Attach,
// Refuse, ConfirmCancel, Deliver, Finish, Forget, Send, Reattach, Abort, Export,
// Import, HandOver, Moved, Adopt, Recall, TakeOverAnswer, Detach, WriteRows, ReadRow or
// Note.
type Action interface {
	isAction()
}
