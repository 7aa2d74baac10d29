package confirm

import "strconv"

// InvalidError reports a corrupt head or configuration.
type InvalidError struct {
	// Version is the version that it should be or claims to be; 0 if unknown.
	Version uint64
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " is invalid: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error {
	return e.Err
}
