package engine

// errorResponse is the body of a response whose status is not 200.
type errorResponse struct {
	Error errorDetail `json:"error"`
}
