package http1

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxSizeDigits bounds the digits of a chunk's size, leading zeros included.
const maxSizeDigits = 16

// Chunks reads the framing of a chunked body (RFC 9112, 7.1). Extensions are ignored, and
// trailer fields are dropped.
type Chunks struct {
	state chunkState
	// left is the number of bytes to come of the current chunk.
	left int
	// total is the size of all chunks so far.
	total  int
	limits ChunkLimits
	// trailerBytes is the number of bytes received after the last chunk.
	trailerBytes int
	line         lineBuffer
}

// NewChunks returns a reader of one body.
func NewChunks(limits ChunkLimits) *Chunks {
	return &Chunks{limits: limits, line: lineBuffer{limit: limits.Line}}
}

// Next reads the next part of the body, and returns the bytes that follow it. It fails
// with a *MalformedChunkError, a *MalformedHeadError for a trailer field, or a *SizeError
// as soon as the size of a chunk is beyond the limit.
func (c *Chunks) Next(data []byte) (ChunkPart, []byte, error) {
	if len(data) == 0 {
		return ChunkPart{}, nil, nil
	}
	if c.state == inChunk {
		n := min(c.left, len(data))
		c.left -= n
		if c.left == 0 {
			c.state = afterChunk
		}
		return ChunkPart{Kind: ChunkData, Data: data[:n]}, data[n:], nil
	}
	line, rest, err := c.line.take(data)
	if err != nil {
		return ChunkPart{}, nil, err
	}
	if line == nil {
		return ChunkPart{}, nil, c.checkFirst(c.line.first())
	}
	part, err := c.readLine(string(line))
	return part, rest, err
}

// checkFirst fails if no line can start with a byte here, so that a peer that sends
// anything else and then nothing is not waited for.
func (c *Chunks) checkFirst(first byte) error {
	mayStart := false
	switch c.state {
	case beforeChunk:
		mayStart = isHexDigit(first)
	case afterChunk:
		mayStart = first == lineEnd[0]
	default:
		mayStart = first == lineEnd[0] || httpguts.IsTokenRune(rune(first))
	}
	if !mayStart {
		return &MalformedChunkError{Detail: "no line between chunks"}
	}
	return nil
}

// readLine reads a line with its end.
func (c *Chunks) readLine(line string) (ChunkPart, error) {
	text, ok := strings.CutSuffix(line, lineEnd)
	if !ok {
		return ChunkPart{}, &MalformedChunkError{Detail: "a line without CR"}
	}
	switch c.state {
	case beforeChunk:
		return c.readSizeLine(text)
	case afterChunk:
		if text != "" {
			return ChunkPart{}, &MalformedChunkError{Detail: "a chunk beyond its size"}
		}
		c.state = beforeChunk
		return ChunkPart{Kind: ChunkEnds}, nil
	default:
		return c.readTrailerLine(text)
	}
}

// readSizeLine reads the line before the data of a chunk.
func (c *Chunks) readSizeLine(line string) (ChunkPart, error) {
	size, err := parseChunkSize(line)
	if err != nil {
		return ChunkPart{}, err
	}
	if limit := min(c.limits.Chunk, c.limits.Body-c.total); size > uint64(limit) {
		return ChunkPart{}, &SizeError{Part: BodyPart, Limit: limit}
	}
	if size == 0 {
		c.state = inTrailer
		return ChunkPart{}, nil
	}
	c.left = int(size)
	c.total += c.left
	c.state = inChunk
	return ChunkPart{Kind: ChunkBegins, Size: c.left}, nil
}

// readTrailerLine reads a line after the last chunk. An empty one ends the body.
func (c *Chunks) readTrailerLine(line string) (ChunkPart, error) {
	if line == "" {
		return ChunkPart{Kind: BodyEnds}, nil
	}
	c.trailerBytes += len(line) + len(lineEnd)
	if c.trailerBytes > c.limits.Line {
		return ChunkPart{}, &SizeError{Part: TrailerPart, Limit: c.limits.Line}
	}
	_, err := parseField(line)
	return ChunkPart{}, err
}

// parseChunkSize reads the size from the line before a chunk. It fails with a
// *MalformedChunkError.
func parseChunkSize(line string) (uint64, error) {
	text, extensions, hasExtensions := strings.Cut(line, ";")
	if hasExtensions {
		text = strings.TrimRight(text, blanks)
	}
	size, err := strconv.ParseUint(text, 16, 63)
	if err != nil || len(text) > maxSizeDigits {
		return 0, &MalformedChunkError{Detail: "an invalid size"}
	}
	if hasExtensions && !areExtensions(extensions) {
		return 0, &MalformedChunkError{Detail: "an invalid extension"}
	}
	return size, nil
}

func isHexDigit(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }
