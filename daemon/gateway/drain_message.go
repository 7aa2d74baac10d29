package gateway

// drainMessage is a message to the drain duty: a stop is wanted.
type drainMessage struct{}
