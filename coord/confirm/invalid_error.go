package confirm

import "strconv"

// InvalidError reports a head or configuration that is damaged.
type InvalidError struct {
	// Version is the version that it claims to be, if known.
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
