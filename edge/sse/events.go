package sse

import "bytes"

// Events are complete events of a stream, in the bytes of the stream.
type Events struct {
	// Bytes holds the events unchanged, with the comments between them.
	Bytes []byte
	// First and Last are the numeric ids of the first and the last event that has
	// one; 0 if none has.
	First, Last int64
	// HasData is set if one of them is an event with data, not only a comment or a
	// keep-alive without any field.
	HasData bool
	// Unnumbered is set if one of them has fields, but no numeric id.
	Unnumbered bool
}

// After returns the events from the first one on whose number is greater than n. They
// are returned as they are if the first has such a number, or none has one.
func (e Events) After(n int64) Events {
	if e.First > n || e.Last == 0 {
		return e
	}
	rest := e.Bytes
	for len(rest) > 0 {
		next := Events{Bytes: rest[:firstEventEnd(rest)]}
		next.readFields()
		if next.First > n {
			break
		}
		rest = rest[len(next.Bytes):]
	}
	after := Events{Bytes: rest}
	after.readFields()
	return after
}

// firstEventEnd returns the index after the blank line that ends the first event, or
// the length if there is none.
func firstEventEnd(p []byte) int {
	end := len(p)
	if i := bytes.Index(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(p, []byte("\r\n\r\n")); i >= 0 {
		end = min(end, i+4)
	}
	return end
}
