package attempt

// Step is what the owner of a Claim or Resolver has to do next: [Write], [Read],
// [Send], [Attach], [Duplicate], [Refuse], [HandoffFailed], [Wait] or [Done].
type Step interface {
	isStep()
}
