package hedge

import "time"

// Attempt is a first attempt that has no first token yet.
type Attempt struct {
	// Idempotent requests may be run again. Others are never hedged.
	Idempotent bool
	// PredictedFirstToken is what the router predicted.
	PredictedFirstToken time.Duration
}
