package engine

import "encoding/json"

// Chunk is one server-sent event of a completion stream.
type Chunk struct {
	// ID is the request ID.
	ID string `json:"id"`
	// Object is always text_completion.
	Object string `json:"object"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Choices has exactly one element.
	Choices []Choice `json:"choices"`
	// Usage is set in the last chunk only.
	Usage *Usage `json:"usage,omitempty"`
}

// doneEvent follows the last chunk of a complete stream.
var doneEvent = []byte("data: [DONE]\n\n")

// sseEvent encodes v as a server-sent event.
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
