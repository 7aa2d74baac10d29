package gateway

import "time"

// drainMessage asks the drain duty to stop the gateway.
type drainMessage struct {
	// limit limits the length of the shutdown; 0 takes the drain timeout of
	// the settings.
	limit time.Duration
	// isReclaim is true if the instance is being reclaimed. Such a message
	// never forces an end to a shutdown that is under way.
	isReclaim bool
}
