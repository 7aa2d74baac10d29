package relay

import "time"

// prediction is what is expected of an upstream for one request.
type prediction struct {
	first    time.Duration // to the first event
	alone    time.Duration // the same at an upstream without other requests
	wait     time.Duration // behind other requests
	cached   int           // prompt tokens that need not be read
	uncached int           // prompt tokens to read
	open     int           // this gateway's requests there
}
