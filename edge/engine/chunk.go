package engine

// chunk is one event of a streamed completion.
type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}
