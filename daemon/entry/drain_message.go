package entry

// drainMessage says that a stop is wanted.
type drainMessage struct{}
