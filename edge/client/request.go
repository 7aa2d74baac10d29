package client

import "time"

// Request is a request to a model engine.
type Request struct {
	// Key identifies the request: a second request with the same key is the same
	// request.
	Key string
	// Idempotent means that the request may be run more than once.
	Idempotent bool
	// Model is the name of the model.
	Model string
	// Adapter is the name of the adapter; empty for none.
	Adapter string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the maximum number of tokens in the answer.
	MaxTokens int
	// Deadline is the time limit of the whole answer, with all tries.
	Deadline time.Duration
	// Priority orders the requests of one customer: higher is served first.
	Priority int
}
