package hosttest

// Outcome is what a callback was given.
type Outcome[T any] struct {
	// Value is the result.
	Value T
	// Err is the failure.
	Err error
}
