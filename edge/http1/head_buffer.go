package http1

import "bytes"

const (
	// lineEnd ends each line of a head and of a trailer.
	lineEnd = "\r\n"
	// HeadEnd ends the head of a message.
	HeadEnd = lineEnd + lineEnd
)

// HeadBuffer collects the bytes of the head of a message, which may arrive in pieces.
type HeadBuffer struct {
	partial []byte
	// scanned is the number of bytes that were searched for line ends, and line is where
	// the line begins that is not complete yet.
	scanned, line int
}

// Take adds received bytes. Once the head is complete it returns the head with its final
// empty line, and the bytes that follow it; before that it returns nil. Both are valid
// until the next call. It fails with a *MalformedHeadError if a line has no CR before its
// LF, since no empty line may ever come then.
func (b *HeadBuffer) Take(data []byte) (head, rest []byte, err error) {
	isFirst := len(b.partial) == 0
	if !isFirst {
		b.partial = append(b.partial, data...)
		data = b.partial
	}
	for {
		at := bytes.IndexByte(data[b.scanned:], '\n')
		if at < 0 {
			break
		}
		end := b.scanned + at
		if end == b.line || data[end-1] != '\r' {
			return nil, nil, &MalformedHeadError{Detail: "a line without CR"}
		}
		isEmpty := end == b.line+1
		b.scanned, b.line = end+1, end+1
		if isEmpty {
			*b = HeadBuffer{}
			return data[:end+1], data[end+1:], nil
		}
	}
	b.scanned = len(data)
	if isFirst {
		b.partial = append(b.partial, data...)
	}
	return nil, nil, nil
}

// Len returns the number of bytes of a head that is not complete yet.
func (b *HeadBuffer) Len() int { return len(b.partial) }

// isLineOpen reports whether the first line of the head is not complete yet.
func (b *HeadBuffer) isLineOpen() bool { return b.line == 0 }
