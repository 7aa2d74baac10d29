package quota

import "fmt"

// ShortError reports that the slice at this instant does not cover a spending.
type ShortError struct {
	// Limit names the limit.
	Limit string
	// Asked is the amount that was asked for.
	Asked uint64
	// Spent is what was spent before.
	Spent uint64
	// Held is the whole slice; 0 if none is held.
	Held uint64
}

// Error implements error.
func (e *ShortError) Error() string {
	return fmt.Sprintf("limit %s: %d asked for beside %d spent, %d held", e.Limit, e.Asked, e.Spent, e.Held)
}
