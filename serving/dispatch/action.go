package dispatch

// Action is something that the owner of a Core has to do: Abort, Accept,
// Attach, ConfirmCancel, Deliver, Detach, EmitEvent, Export, Finish, Forget,
// HandOver, Import, ReadRow, Reattach, Redirect, Refuse, RestoreAnswer, Send,
// StartAnswer, TakeOverResult or WriteRows.
type Action interface {
	isAction()
}
