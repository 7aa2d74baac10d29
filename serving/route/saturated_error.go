package route

import (
	"fmt"
	"time"
)

// SaturatedError reports that each live replica is at its limit, or those that
// are worth waiting for.
type SaturatedError struct {
	// Pool names the pool.
	Pool string
	// RetryAfter is a hint when a replica may have room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *SaturatedError) Error() string {
	return fmt.Sprintf("the replicas of pool %q are at their limit, retry after %s", e.Pool, e.RetryAfter)
}
