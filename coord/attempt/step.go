package attempt

// Step is what the owner of a claim has to do next. It is one of [Write],
// [Read], [Send], [Attach], [Duplicate], [Refuse], [Lost], [Wait] and [Done].
type Step interface {
	isStep()
}
