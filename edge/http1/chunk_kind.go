package http1

// ChunkKind is the kind of a ChunkPart.
type ChunkKind int

const (
	// ChunkPending says that more bytes are needed.
	ChunkPending ChunkKind = iota
	// ChunkBegins is the line before the data of a chunk.
	ChunkBegins
	// ChunkData is data of a chunk.
	ChunkData
	// ChunkEnds is the line end after the data of a chunk.
	ChunkEnds
	// BodyEnds is the end of the trailer.
	BodyEnds
)
