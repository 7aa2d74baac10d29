package thread

// Ended reports the end of a duty.
type Ended struct {
	// Duty is the name of the duty.
	Duty string
	// Err is nil if the duty returned without an error.
	Err error
}
