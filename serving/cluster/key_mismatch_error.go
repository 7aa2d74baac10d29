package cluster

// KeyMismatchError reports a record stored under a key other than its instance.
type KeyMismatchError struct {
	// Instance is the instance that the record names.
	Instance string
}

// Error implements error.
func (e *KeyMismatchError) Error() string {
	return "the record belongs to instance " + e.Instance
}
