package request

// Summary says how a request ended.
type Summary struct {
	// Refusal is nil for a completed request.
	Refusal *Refusal
	// Reply is the answer of a plain service; nil for a model engine.
	Reply *Reply
	// Attempts is the number of attempts made.
	Attempts int
	// RecomputedTokens is the number of tokens that were computed again after
	// the request moved to another upstream.
	RecomputedTokens int
}

// Outcome returns how the request ended.
func (s Summary) Outcome() Outcome {
	if s.Refusal == nil {
		return Completed
	}
	return s.Refusal.Outcome
}
