package gateway

import "time"

// drainMessage is a message to the drain duty: a stop is wanted.
type drainMessage struct {
	// limit bounds the shutdown; 0 takes the limit of the settings.
	limit time.Duration
	// isReclaim is true for a stop that the cloud announced. It does not count
	// as a repeated order to stop.
	isReclaim bool
}
