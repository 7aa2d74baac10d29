package thread

// Ended says that a duty has ended.
type Ended struct {
	// Duty is the name of the duty.
	Duty string
	// Err is nil after an ordinary end.
	Err error
}
