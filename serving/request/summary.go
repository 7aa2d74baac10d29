package request

// Summary describes a request that has ended, apart from the text of its
// answer.
type Summary struct {
	// Refusal is nil for a completed request.
	Refusal *Refusal
	// Reply is the response of a plain service; nil for a model engine.
	Reply *ServiceReply
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
