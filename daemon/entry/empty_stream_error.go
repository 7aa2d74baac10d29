package entry

// EmptyStreamError reports a stream without a length or chunks that ended before any
// event.
type EmptyStreamError struct{}

// Error implements error.
func (*EmptyStreamError) Error() string {
	return "the stream ended with its connection before any event"
}
