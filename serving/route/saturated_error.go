package route

import (
	"fmt"
	"time"
)

// SaturatedError reports that each live replica that the job hasn't tried is at
// its limit or ejected, or that the job should wait for a saturated one that
// has more of its prompt cached.
type SaturatedError struct {
	// Pool is the pool of the job.
	Pool string
	// RetryAfter is a hint when a replica may have capacity again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *SaturatedError) Error() string {
	return fmt.Sprintf("the replicas of pool %q are at their limit, retry after %s", e.Pool, e.RetryAfter)
}
