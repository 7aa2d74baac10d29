package history

// resultKind is the kind of an answer.
type resultKind uint8

const (
	ran       resultKind = iota // the result of a run operation
	completed                   // has the answer of the run
	refused                     // was not run
	settled                     // unknown, and no run of the attempt starts later
	open                        // unknown
)
