package history

// requestOp is an operation of the history of one key: a submission by a
// caller, or a run that the upstream saw begin.
type requestOp struct {
	key        string
	submission int
	isRun      bool
	attempt    uint32 // of a run
}

// requestResult is what a submission was answered with.
type requestResult struct {
	kind       resultKind
	keyChecked bool   // of a refusal
	attempt    uint32 // of a settled outcome
}

// resultKind is the kind of an answer.
type resultKind uint8

const (
	ran       resultKind = iota // the result of a run operation
	completed                   // has the answer of the run
	refused                     // was not run
	settled                     // unknown, and no run of the attempt starts later
	open                        // unknown
)
