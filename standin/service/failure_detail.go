package service

// FailureDetail describes an error.
type FailureDetail struct {
	// Type is the type of the error.
	Type FailureType `json:"type"`
}
