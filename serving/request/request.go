package request

import "time"

// Request is a request to a model engine or plain service, as decoded and
// authenticated.
type Request struct {
	// ID names the request.
	ID ID `cbor:"1,keyasint"`
	// Member is the member whose customer asks.
	Member string `cbor:"2,keyasint"`
	// Idempotent requests may be run again.
	Idempotent bool `cbor:"3,keyasint"`
	// Model names the model.
	Model string `cbor:"4,keyasint"`
	// Adapter names the adapter; empty for none.
	Adapter string `cbor:"5,keyasint"`
	// Prompt is the text to go on from.
	Prompt string `cbor:"6,keyasint"`
	// MaxTokens bounds the answer.
	MaxTokens int `cbor:"7,keyasint"`
	// Priority orders requests of one customer: higher goes first.
	Priority int `cbor:"8,keyasint"`
	// Deadline is the time that the caller gives for the whole answer, counted
	// from the arrival.
	Deadline time.Duration `cbor:"9,keyasint"`
	// Streamed answers are sent in pieces.
	Streamed bool `cbor:"10,keyasint"`
	// Call is set for a call of a plain service, nil for a model engine.
	Call *Call `cbor:"11,keyasint"`
}
