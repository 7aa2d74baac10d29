package engine

// CacheEvent reports an insertion into the prefix cache or an eviction from it.
type CacheEvent struct {
	// Seq numbers the events of an engine from 1. A dropped event leaves a gap.
	Seq uint64 `json:"seq"`
	// Kind is insert or evict.
	Kind EventKind `json:"kind"`
	// Block is the block, in hexadecimal.
	Block string `json:"block"`
	// Parent is the preceding block, in hexadecimal; empty for an evict.
	Parent string `json:"parent,omitempty"`
	// AtMillis is the Unix time of the change, in milliseconds.
	AtMillis int64 `json:"at_ms"`
}
