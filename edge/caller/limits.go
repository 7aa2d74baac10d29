package caller

import "time"

// Limits bounds what a caller may send. WithDefaults replaces zero fields by the
// defaults.
type Limits struct {
	// MaxKeyBytes is the maximum length of a key. Default 128.
	MaxKeyBytes int
	// MaxPromptBytes is the maximum length of a prompt. Default 1 MiB.
	MaxPromptBytes int
	// MaxTokens is the maximum of max_tokens. Default 32768.
	MaxTokens int
	// DefaultDeadline is the deadline of a request that has none. Default 60 s.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum deadline. Default 30 min.
	MaxDeadline time.Duration
}

// WithDefaults returns the limits with the defaults in place of fields that are
// zero or negative.
func (l Limits) WithDefaults() Limits {
	if l.MaxKeyBytes <= 0 {
		l.MaxKeyBytes = 128
	}
	if l.MaxPromptBytes <= 0 {
		l.MaxPromptBytes = 1 << 20
	}
	if l.MaxTokens <= 0 {
		l.MaxTokens = 32768
	}
	if l.DefaultDeadline <= 0 {
		l.DefaultDeadline = time.Minute
	}
	if l.MaxDeadline <= 0 {
		l.MaxDeadline = 30 * time.Minute
	}
	return l
}
