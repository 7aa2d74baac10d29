package relay

// Action is an instruction to the owner of a Core: Send, Cancel, StartStream,
// WriteStream, EndStream, Reply, Refuse, Abort, AskHolder, RecordUsage or LogEntry.
type Action interface {
	isAction()
}
