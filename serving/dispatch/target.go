package dispatch

import "time"

// target is the pool that serves a request, and how fast it should.
type target struct {
	pool       string
	model      string
	firstToken time.Duration
	timeout    time.Duration
}
