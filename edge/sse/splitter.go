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

// endBytes is the length of the longest end of an event.
const endBytes = len("\r\n\r\n")

// Add appends the next bytes of the stream and returns the events that are now
// complete, in a new slice. It fails with an *EventSizeError if an event has no end
// within MaxEventBytes.
func (s *Splitter) Add(p []byte) (Events, error) {
	// The end of an event may have begun in the bytes before.
	searched := max(len(s.partial)-endBytes+1, 0)
	s.partial = append(s.partial, p...)
	end := lastEventEnd(s.partial[searched:])
	if end == 0 {
		if len(s.partial) > MaxEventBytes {
			return Events{}, &EventSizeError{}
		}
		return Events{}, nil
	}
	end += searched
	events := Events{Bytes: bytes.Clone(s.partial[:end])}
	s.partial = append(s.partial[:0], s.partial[end:]...)
	events.readFields()
	return events, nil
}

// Rest returns the bytes after the last complete event and resets the Splitter.
func (s *Splitter) Rest() []byte {
	rest := s.partial
	s.partial = nil
	return rest
}

// IsPartialEvent reports whether the bytes after the last complete event belong to
// another event, and not only to comments.
func IsPartialEvent(rest []byte) bool {
	for line := range bytes.Lines(rest) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
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

// readFields sets what the fields of the events tell.
func (e *Events) readFields() {
	hasField, hasID := false, false
	for p := e.Bytes; len(p) > 0; {
		line, rest, _ := bytes.Cut(p, []byte("\n"))
		p = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			e.Unnumbered = e.Unnumbered || hasField && !hasID
			hasField, hasID = false, false
			continue
		}
		if line[0] == ':' {
			continue
		}
		hasField = true
		hasID = e.readField(line) || hasID
	}
}

// readField sets what one field tells, and reports whether it is a numeric id.
func (e *Events) readField(line []byte) bool {
	if bytes.HasPrefix(line, []byte("data")) {
		e.HasData = true
		return false
	}
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return false
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return false
	}
	if e.First == 0 {
		e.First = n
	}
	e.Last = n
	return true
}
