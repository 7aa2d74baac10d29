package confirm

import "fmt"

// DigestError reports a digest that does not match the content.
type DigestError struct {
	// Found is the digest that came with the content.
	Found uint64
	// Computed is the digest of the content.
	Computed uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("digest is %016x, but the content has %016x", e.Found, e.Computed)
}
