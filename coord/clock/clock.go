package clock

// Clock reads the monotonic time.
type Clock interface {
	// Now returns the current instant. It never goes backwards, and it advances
	// while the process is stopped.
	Now() Instant
}
