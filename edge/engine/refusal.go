package engine

// refusal is the body of an answer that is not a stream.
type refusal struct {
	Error refusalDetail `json:"error"`
}
