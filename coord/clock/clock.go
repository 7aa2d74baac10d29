package clock

// Clock reads the monotonic time.
type Clock interface {
	// Now returns the present instant. It never goes backwards. It includes
	// the time for which the process was stopped.
	Now() Instant
}
