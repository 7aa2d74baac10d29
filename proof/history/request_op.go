package history

// requestOp is an operation of the history of one key: a submission by a
// caller, or a run that the upstream saw begin.
type requestOp struct {
	key        string
	submission int
	isRun      bool
	attempt    uint32 // of a run
}
