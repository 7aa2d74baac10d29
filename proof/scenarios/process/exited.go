package process

// exited is the end of a process.
type exited struct {
	status int
	err    error
}
