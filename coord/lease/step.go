package lease

// Step is what the owner of a lease has to do next: [Write], [Read], [Wait] or
// [Ended].
type Step interface {
	isStep()
}
