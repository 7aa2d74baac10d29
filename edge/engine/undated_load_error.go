package engine

// UndatedLoadError reports an answer that does not say when the load was measured, so
// that it may be no load report or an old one.
type UndatedLoadError struct{}

// Error implements error.
func (*UndatedLoadError) Error() string {
	return "the load report does not say when it was measured"
}
