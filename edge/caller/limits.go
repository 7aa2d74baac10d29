package caller

import "time"

// Limits bound what a caller may send. The zero value takes the defaults.
type Limits struct {
	// MaxKeyBytes bounds a key. Default 128.
	MaxKeyBytes int
	// MaxPromptBytes bounds a prompt. Default 1 MiB.
	MaxPromptBytes int
	// MaxTokens bounds the tokens asked for. Default 32768.
	MaxTokens int
	// DefaultDeadline is the deadline of a request that names none. Default
	// 60 s.
	DefaultDeadline time.Duration
	// MaxDeadline bounds the deadline. Default 30 min.
	MaxDeadline time.Duration
}

// WithDefaults fills in what is zero.
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
