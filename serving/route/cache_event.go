package route

// CacheEvent is a change of the prefix cache of a replica, as published by it.
// Events arrive late and some are lost.
type CacheEvent struct {
	// Sequence counts the events of the replica from 1. It starts again after
	// CacheCleared.
	Sequence uint64
	// Kind is what happened.
	Kind CacheEventKind
	// Blocks are the hashes of the blocks concerned; none for CacheCleared.
	Blocks []uint64
}
