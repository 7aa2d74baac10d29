package objects

import "net/http"

// Condition is the precondition of a put. The zero value requires nothing.
type Condition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// ETag requires that the object has this ETag; empty requires nothing.
	ETag string
}

func (c Condition) header() http.Header {
	header := http.Header{}
	if c.Absent {
		header.Set("If-None-Match", "*")
	}
	if c.ETag != "" {
		header.Set("If-Match", c.ETag)
	}
	return header
}
