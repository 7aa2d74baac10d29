package httpc

const (
	// MaxHeadBytes bounds the bytes of a response before its body, interim responses
	// included, those of its trailer, and one line between chunks.
	MaxHeadBytes = 64 << 10
	// MaxChunkBytes bounds a body with a length and one chunk of any other body, which
	// the parser delivers as a whole.
	MaxChunkBytes = 8 << 20
)
