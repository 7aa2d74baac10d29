package route

// CacheEvent is a change of the prefix cache of a replica, as published by the
// replica. Events may arrive late or get lost.
type CacheEvent struct {
	// Sequence counts the events of the replica from 1. It restarts after
	// CacheCleared.
	Sequence uint64
	// Kind is the kind of change.
	Kind CacheEventKind
	// Blocks are the hashes of the affected blocks; none for CacheCleared.
	Blocks []uint64
}
