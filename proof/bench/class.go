package bench

import "time"

// Class is a kind of request of a member's traffic.
type Class struct {
	// Name names it.
	Name string
	// Pool runs it.
	Pool string
	// PerSecond is the mean rate at load 1.
	PerSecond float64
	// SharedTokens is the length of the prefix that requests of a group share.
	SharedTokens int
	// Groups is the number of different prefixes.
	Groups int
	// OwnTokens is the mean length of the rest of the prompt.
	OwnTokens int
	// MaxTokens bounds the answer; answers have from half of it to all.
	MaxTokens int
	// Target is the latency target for the first token.
	Target time.Duration
	// Deadline is the time for the whole answer.
	Deadline time.Duration
	// Priority orders requests of a customer and at the engine.
	Priority int
	// NonIdempotent requests are sent once.
	NonIdempotent bool
}
