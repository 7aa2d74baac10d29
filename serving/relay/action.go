package relay

// Action is what the owner of a core has to do: Send, Cancel, Begin, Pass,
// Finish, Reply, Refuse, Abort or Note.
type Action interface {
	isAction()
}
