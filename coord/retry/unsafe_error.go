package retry

// UnsafeError reports that a retry could run the request twice.
type UnsafeError struct{}

// Error implements error.
func (*UnsafeError) Error() string {
	return "request is not safe to repeat"
}
