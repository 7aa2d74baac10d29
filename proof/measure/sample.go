package measure

import "time"

// Sample is the timing of one answer.
type Sample struct {
	// First is the time to the first token.
	First time.Duration
	// Whole is the time to the end of the answer.
	Whole time.Duration
}
