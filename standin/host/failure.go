package host

// Failure is the body of an error of the stand-ins that have no protocol of
// their own for it.
type Failure struct {
	// Error describes the error.
	Error FailureDetail `json:"error"`
}
