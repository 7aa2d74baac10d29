package objects

// ConditionError reports a put whose condition did not hold. Nothing was
// written.
type ConditionError struct {
	// Key names the object.
	Key string
}

// Error implements error.
func (e *ConditionError) Error() string {
	return "object " + e.Key + " is not as the condition requires"
}
