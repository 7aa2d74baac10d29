package objects

// ConditionError reports a write whose precondition failed. Nothing was written.
type ConditionError struct {
	// Key is the key of the object.
	Key string
}

// Error implements error.
func (e *ConditionError) Error() string {
	return "object " + e.Key + " does not meet the precondition"
}
