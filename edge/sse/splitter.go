package sse

import (
	"bytes"
	"strconv"
)

// Splitter cuts a byte stream after whole events. The zero value works; one
// thread uses it.
type Splitter struct {
	partial []byte
}

// Add takes the next bytes. It returns all events that are whole now, as they
// came, in memory of their own, with the numbers of the first and last one; 0
// where they have none.
func (s *Splitter) Add(p []byte) (whole []byte, first, last int64) {
	s.partial = append(s.partial, p...)
	end := lastEnd(s.partial)
	if end == 0 {
		return nil, 0, 0
	}
	whole = bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	first, last = numbers(whole)
	return whole, first, last
}

// Rest returns what is left after the last whole event and forgets it.
func (s *Splitter) Rest() []byte {
	rest := s.partial
	s.partial = nil
	return rest
}

// lastEnd is the index after the last empty line that ends an event.
func lastEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// numbers returns the numbers of the first and the last event that have one.
func numbers(p []byte) (first, last int64) {
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
