package engine

// CacheEvent is a change of the prefix cache as it is published.
type CacheEvent struct {
	// Seq numbers the events of an engine from 1. A dropped event leaves a gap.
	Seq uint64 `json:"seq"`
	// Kind is insert or evict.
	Kind EventKind `json:"kind"`
	// Block is the block, in hexadecimal.
	Block string `json:"block"`
	// Parent is the block before it, in hexadecimal; empty for an evict.
	Parent string `json:"parent,omitempty"`
	// AtMillis is the Unix time of the change, in milliseconds.
	AtMillis int64 `json:"at_ms"`
}
