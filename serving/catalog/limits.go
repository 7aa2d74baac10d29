package catalog

import "time"

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// HeaderTimeout bounds the time in which a head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which an unused connection is kept.
	IdleTimeout time.Duration
}
