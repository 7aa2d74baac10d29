package engine

import "encoding/json"

// Chunk is one event of the stream of a completion.
type Chunk struct {
	// ID is the request id.
	ID string `json:"id"`
	// Object is text_completion.
	Object string `json:"object"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Choices has one element.
	Choices []Choice `json:"choices"`
	// Usage is set in the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// doneEvent ends the stream of a whole answer.
var doneEvent = []byte("data: [DONE]\n\n")

// sseEvent encodes v as an event of a stream.
func sseEvent(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	event := make([]byte, 0, len(raw)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, raw...)
	return append(event, "\n\n"...)
}
