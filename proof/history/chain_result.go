package history

// chainResult is the outcome of a confirmation.
type chainResult struct {
	kind chainResultKind
	head int // of a conflict
}
