package request

import "time"

// Request is a decoded and authenticated request to a model engine or to a
// plain service.
type Request struct {
	// ID identifies the request.
	ID ID `cbor:"1,keyasint"`
	// Member names the organisation that the customer belongs to.
	Member string `cbor:"2,keyasint"`
	// Idempotent requests may be run more than once.
	Idempotent bool `cbor:"3,keyasint"`
	// Model names the model.
	Model string `cbor:"4,keyasint"`
	// Adapter names the adapter; empty for none.
	Adapter string `cbor:"5,keyasint"`
	// Prompt is the text to complete.
	Prompt string `cbor:"6,keyasint"`
	// MaxTokens limits the length of the answer.
	MaxTokens int `cbor:"7,keyasint"`
	// Priority orders the requests of one customer: higher goes first.
	Priority int `cbor:"8,keyasint"`
	// Deadline is the time allowed for the whole answer, counted from the
	// arrival of the request.
	Deadline time.Duration `cbor:"9,keyasint"`
	// Streamed requests get their answer in pieces as it is generated.
	Streamed bool `cbor:"10,keyasint"`
	// Call is set for a plain service and nil for a model engine.
	Call *ServiceCall `cbor:"11,keyasint"`
}
