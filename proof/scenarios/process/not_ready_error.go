package process

// NotReadyError reports a process that ended, or did nothing, before it was
// ready.
type NotReadyError struct {
	// Name is the name of the process.
	Name string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return e.Name + " did not get ready"
}
