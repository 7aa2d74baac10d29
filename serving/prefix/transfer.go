package prefix

import "time"

// Transfer compares two ways to give a replica the KV cache of a prompt: moving
// it from another replica, and computing it again.
type Transfer struct {
	// Tokens is the number of tokens whose KV cache is needed.
	Tokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// BytesPerSecond is the rate from the export to the import.
	BytesPerSecond float64
	// Setup is the fixed time of a move, whatever its size.
	Setup time.Duration
	// TimePerToken is the time that the target takes to compute a prompt token.
	TimePerToken time.Duration
	// Available is the time until the source stops; 0 means no limit.
	Available time.Duration
	// FailureShare is the part of the moves that fail, after which the target
	// computes the tokens.
	FailureShare float64
}

// MoveTime predicts the time of a move that succeeds.
func (t Transfer) MoveTime() time.Duration {
	bytes := float64(t.Tokens) * float64(t.BytesPerToken)
	return t.Setup + time.Duration(bytes/max(t.BytesPerSecond, 1)*float64(time.Second))
}

// ComputeTime predicts the time to compute the KV cache again.
func (t Transfer) ComputeTime() time.Duration {
	return time.Duration(t.Tokens) * t.TimePerToken
}

// ShouldMove reports whether a move is expected to take less time than computing
// and to end before the source stops. A failed move costs its own time and that
// of computing.
func (t Transfer) ShouldMove() bool {
	move := t.MoveTime()
	if t.Available > 0 && move > t.Available {
		return false
	}
	expected := move + time.Duration(t.FailureShare*float64(t.ComputeTime()))
	return expected < t.ComputeTime()
}
