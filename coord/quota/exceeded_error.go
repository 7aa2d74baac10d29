package quota

import "fmt"

// ExceededError reports that the current allocation does not cover an amount to
// be spent.
type ExceededError struct {
	// Limit names the limit.
	Limit string
	// Asked is the amount to be spent.
	Asked uint64
	// Spent is the amount already spent.
	Spent uint64
	// Held is the whole allocation; 0 if none is held.
	Held uint64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("limit %s: %d asked for beside %d spent, %d held", e.Limit, e.Asked, e.Spent, e.Held)
}
