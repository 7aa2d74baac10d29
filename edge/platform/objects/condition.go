package objects

import "net/http"

// Condition limits a put. The zero value does not limit it.
type Condition struct {
	// Absent requires that there is no such object.
	Absent bool
	// ETag requires that the object has this content; empty requires nothing.
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
