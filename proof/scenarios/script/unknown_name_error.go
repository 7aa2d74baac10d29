package script

// UnknownNameError reports the name of something that was not started.
type UnknownNameError struct {
	// Name is the name.
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return "there is no " + e.Name
}
