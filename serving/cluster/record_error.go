package cluster

// RecordError reports a row whose value is not a valid gateway record.
type RecordError struct {
	// Key is the key of the row.
	Key string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RecordError) Error() string {
	return "invalid gateway record in row " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error {
	return e.Err
}
