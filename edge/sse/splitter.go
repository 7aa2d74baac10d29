package sse

import (
	"bytes"
	"strconv"
)

// Splitter splits a byte stream into complete events and a partial one at the
// end. The zero value is ready to use. A Splitter is not safe for concurrent use.
type Splitter struct {
	partial []byte
}

// Add appends the next bytes of the stream and returns the unchanged bytes of all
// events that are now complete, in a new slice. It also returns the first and the
// last numeric id among these events; 0 if none has one.
func (s *Splitter) Add(p []byte) (whole []byte, first, last int64) {
	s.partial = append(s.partial, p...)
	end := lastEventEnd(s.partial)
	if end == 0 {
		return nil, 0, 0
	}
	whole = bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	first, last = eventIDs(whole)
	return whole, first, last
}

// Rest returns the bytes after the last complete event and resets the Splitter.
func (s *Splitter) Rest() []byte {
	rest := s.partial
	s.partial = nil
	return rest
}

// lastEventEnd returns the index after the blank line that ends the last complete
// event; 0 if there is none. Lines end with LF or CRLF.
func lastEventEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// eventIDs returns the first and the last numeric id field; 0 if there is none.
func eventIDs(p []byte) (first, last int64) {
	for len(p) > 0 {
		line, rest, _ := bytes.Cut(p, []byte("\n"))
		p = rest
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			continue
		}
		if first == 0 {
			first = n
		}
		last = n
	}
	return first, last
}
