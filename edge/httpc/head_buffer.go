package httpc

import "bytes"

// headEnd ends the head of a response.
const headEnd = lineEnd + lineEnd

// headBuffer collects the bytes of a response head, which may arrive in pieces.
type headBuffer struct {
	partial []byte
}

// take adds received bytes. Once the head is complete it returns the head with its
// final blank line, and the bytes that follow it; before that it returns nil. Both are
// valid until the next call.
func (b *headBuffer) take(data []byte) (head, rest []byte) {
	from := 0
	if len(b.partial) > 0 {
		from = max(len(b.partial)-len(headEnd)+1, 0)
		b.partial = append(b.partial, data...)
		data = b.partial
	}
	at := bytes.Index(data[from:], []byte(headEnd))
	if at < 0 {
		if len(b.partial) == 0 {
			b.partial = append(b.partial, data...)
		}
		return nil, nil
	}
	b.partial = nil
	end := from + at + len(headEnd)
	return data[:end], data[end:]
}
