package history

// chainOp is the confirmation of a plan against a version.
type chainOp struct {
	plan string
	base int
}
