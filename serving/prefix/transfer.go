package prefix

import "time"

// Transfer is the cost of giving a replica the KV cache of a prompt, either
// moved from another replica or computed again.
type Transfer struct {
	// Tokens is the number of tokens whose cache is wanted.
	Tokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// BytesPerSecond is the rate of an export to an import.
	BytesPerSecond float64
	// Setup is the time of an export and import of nothing.
	Setup time.Duration
	// TimePerToken is the time in which the target computes a prompt token.
	TimePerToken time.Duration
	// Available is the time until the source is gone; 0 is no bound.
	Available time.Duration
	// FailureShare is the share of moves that fail and are computed after all.
	FailureShare float64
}

// MoveTime predicts the time of a move that does not fail.
func (t Transfer) MoveTime() time.Duration {
	bytes := float64(t.Tokens) * float64(t.BytesPerToken)
	return t.Setup + time.Duration(bytes/max(t.BytesPerSecond, 1)*float64(time.Second))
}

// ComputeTime predicts the time of computing the tokens again.
func (t Transfer) ComputeTime() time.Duration {
	return time.Duration(t.Tokens) * t.TimePerToken
}

// ShouldMove reports whether moving is expected to take less time than
// computing, and can end while the source is there. A failed move costs its
// time and the computing.
func (t Transfer) ShouldMove() bool {
	move := t.MoveTime()
	if t.Available > 0 && move > t.Available {
		return false
	}
	expected := move + time.Duration(t.FailureShare*float64(t.ComputeTime()))
	return expected < t.ComputeTime()
}
