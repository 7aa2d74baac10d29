package cluster

// CardError reports a row that holds no card.
type CardError struct {
	// Key is the key of the row.
	Key string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CardError) Error() string {
	return "row " + e.Key + " holds no card of a gateway: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CardError) Unwrap() error {
	return e.Err
}
