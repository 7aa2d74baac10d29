package service

// Failure is the body of an error.
type Failure struct {
	// Error describes the error.
	Error FailureDetail `json:"error"`
}
