package http1

import "bytes"

// lineBuffer collects the bytes of a line, which may arrive in pieces.
type lineBuffer struct {
	partial []byte
	// limit is the largest size of a line in bytes.
	limit int
}

// take adds received bytes. Once a line is complete it returns the line with its end, and
// the bytes that follow it; before that it returns nil. Both are valid until the next
// call. It fails with a *SizeError if a line is too long.
func (b *lineBuffer) take(data []byte) (line, rest []byte, err error) {
	from := len(b.partial)
	if from > 0 {
		b.partial = append(b.partial, data...)
		data = b.partial
	}
	end := bytes.IndexByte(data[from:], '\n')
	if end >= 0 {
		b.partial = nil
		end += from + 1
		return data[:end], data[end:], nil
	}
	if len(data) > b.limit {
		return nil, nil, &SizeError{Part: LinePart, Limit: b.limit}
	}
	if from == 0 {
		b.partial = append(b.partial, data...)
	}
	return nil, nil, nil
}

// first returns the first byte of a line that is not complete yet.
func (b *lineBuffer) first() byte { return b.partial[0] }
