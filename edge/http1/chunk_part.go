package http1

// ChunkPart is what Chunks has read of a chunked body.
type ChunkPart struct {
	// Kind says which fields are set.
	Kind ChunkKind
	// Size is the size of the chunk that begins, at least 1.
	Size int
	// Data is the next part of the data of the current chunk.
	Data []byte
}
