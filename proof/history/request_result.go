package history

// requestResult is what a submission was answered with.
type requestResult struct {
	kind       resultKind
	keyChecked bool   // of a refusal
	attempt    uint32 // of a settled outcome
}
