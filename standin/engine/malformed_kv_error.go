package engine

// MalformedKVError reports an import that is not an exported KV cache.
type MalformedKVError struct {
	// Err is the decoding error; nil when the magic prefix is missing.
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
