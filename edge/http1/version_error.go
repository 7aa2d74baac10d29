package http1

// VersionError is the cause when a request has another major version than HTTP/1.
type VersionError struct {
	// Version is the version received.
	Version string
}

// Error implements error.
func (e *VersionError) Error() string {
	return "unsupported version " + e.Version
}
