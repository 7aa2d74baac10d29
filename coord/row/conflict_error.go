package row

// ConflictError reports that a row did not have the expected version. No change
// of the transaction took effect.
type ConflictError struct {
	// Key names the row.
	Key Key
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "row " + e.Key.String() + " has another version than expected"
}
