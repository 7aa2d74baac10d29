package http1

// Part names a part of a message.
type Part string

// The parts that have limits.
const (
	// RequestLinePart is the first line of a request.
	RequestLinePart Part = "request line"
	// HeadPart is the first line with the fields.
	HeadPart Part = "head"
	// BodyPart is the body, or one chunk of it.
	BodyPart Part = "body"
	// LinePart is a line between chunks.
	LinePart Part = "line between chunks"
	// TrailerPart is what follows the last chunk.
	TrailerPart Part = "trailer"
)
