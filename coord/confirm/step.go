package confirm

// Step is what the owner of a Confirmation has to do next: [Write], [Read],
// [Confirmed] or [Rejected].
type Step interface {
	isStep()
}
