package callers

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Record is one submission and what came of it.
type Record struct {
	// Caller is the number of the caller.
	Caller int
	// Customer is MEMBER/NAME.
	Customer string
	// Key names the request.
	Key string
	// Kind is what was asked for.
	Kind Kind
	// Model is the model asked for.
	Model string
	// Prompt is the prompt of a request, or the body of a call.
	Prompt string
	// MaxTokens bounds the answer of a request.
	MaxTokens int
	// Hasty submissions have a deadline too short for the whole answer.
	Hasty bool
	// Start is when it was submitted.
	Start clock.Instant
	// End is when the outcome was known.
	End clock.Instant
	// Outcome is the result as the caller knows it.
	Outcome Outcome
	// Reason is the reason of a refusal.
	Reason string
	// Detail says more on a refusal.
	Detail string
	// Text is the answer.
	Text string
	// Attempts is the number of attempts at upstreams.
	Attempts int
	// RecomputedTokens is the number of tokens computed again after a move.
	RecomputedTokens int
}
