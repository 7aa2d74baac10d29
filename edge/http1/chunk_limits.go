package http1

// ChunkLimits bound the parts of a chunked body, in bytes.
type ChunkLimits struct {
	// Chunk bounds one chunk.
	Chunk int
	// Body bounds all chunks together.
	Body int
	// Line bounds each line between chunks, and the trailer.
	Line int
}
