package client

import "time"

// Request is a request to a model engine.
type Request struct {
	// Key names the request; the same key is the same request.
	Key string
	// Idempotent requests may be run again.
	Idempotent bool
	// Model names the model.
	Model string
	// Adapter names the adapter; empty for none.
	Adapter string
	// Prompt is the text to go on from.
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Deadline bounds the whole answer.
	Deadline time.Duration
	// Priority orders requests of one customer: higher goes first.
	Priority int
}
