package engine

// EventKind is the type of a CacheEvent.
type EventKind string

// The kinds of cache events.
const (
	// EventInsert says that the block is now cached.
	EventInsert EventKind = "insert"
	// EventEvict says that the block is no longer cached.
	EventEvict EventKind = "evict"
)
