package engine

// MalformedKVError reports an import that is no exported KV cache.
type MalformedKVError struct {
	// Err is the cause; nil when the first bytes are wrong.
	Err error
}

// Error implements error.
func (e *MalformedKVError) Error() string {
	if e.Err == nil {
		return "not an exported KV cache"
	}
	return "malformed KV cache: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedKVError) Unwrap() error {
	return e.Err
}
