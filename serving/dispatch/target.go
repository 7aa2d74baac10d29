package dispatch

import "time"

// target says which pool serves a request and within what time.
type target struct {
	pool             string        // qualified by its member
	model            string        // empty for a plain service
	firstTokenTarget time.Duration // 0 for none
	defaultDeadline  time.Duration // of calls that set no deadline
}
