package process

// NotEndedError reports a process that did not end in time.
type NotEndedError struct {
	// Name is the name of the process.
	Name string
}

// Error implements error.
func (e *NotEndedError) Error() string {
	return e.Name + " did not end"
}
