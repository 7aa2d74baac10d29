package http1

// chunkState says which part of a chunked body comes next.
type chunkState int

const (
	// beforeChunk is before the line with the size of a chunk.
	beforeChunk chunkState = iota
	// inChunk is within the data of a chunk.
	inChunk
	// afterChunk is before the line end after the data.
	afterChunk
	// inTrailer is after the last chunk.
	inTrailer
)
