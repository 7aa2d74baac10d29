package attempt

// InvalidRecordError reports a row whose value is not a valid record.
type InvalidRecordError struct {
	// ID names the request.
	ID ID
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *InvalidRecordError) Error() string {
	return "record of request " + e.ID.String() + " is invalid: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *InvalidRecordError) Unwrap() error {
	return e.Err
}
