package retry

import "strconv"

// AttemptsError reports that the request has reached Config.MaxAttempts.
type AttemptsError struct {
	// Attempts is the number of attempts made.
	Attempts int
}

// Error implements error.
func (e *AttemptsError) Error() string {
	return "no attempt left after " + strconv.Itoa(e.Attempts)
}
