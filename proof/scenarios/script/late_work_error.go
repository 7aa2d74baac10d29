package script

import (
	"fmt"
	"time"
)

// LateWorkError reports new work at an upstream that should get none.
type LateWorkError struct {
	// Address is the upstream.
	Address string
	// Request is the request.
	Request string
	// After is the time from the mark to its arrival.
	After time.Duration
}

// Error implements error.
func (e *LateWorkError) Error() string {
	return fmt.Sprintf("%s got %s %v after the mark", e.Address, e.Request, e.After)
}
