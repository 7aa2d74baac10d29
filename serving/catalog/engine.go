package catalog

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the number of tokens that its KV cache has room for.
	MemoryTokens int
	// MaxPin is the longest time for which a prompt may be pinned.
	MaxPin time.Duration
	// MaxHold is the longest time for which room may be reserved.
	MaxHold time.Duration
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}
