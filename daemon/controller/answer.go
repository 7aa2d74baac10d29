package controller

// answer is the answer to a command: a body or a failure.
type answer struct {
	ticket uint64
	status int
	body   any
	err    error
}
