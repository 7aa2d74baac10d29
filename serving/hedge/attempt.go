package hedge

import "time"

// Attempt describes a first attempt that has not produced a token yet.
type Attempt struct {
	// Idempotent is true if the request may run twice. Others are never hedged.
	Idempotent bool
	// PredictedFirstToken is the time to the first token that the router predicted.
	PredictedFirstToken time.Duration
}
