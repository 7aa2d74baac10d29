package retry

import "time"

// Config holds the parameters of a Policy.
type Config struct {
	// RatioPerMille is the number of retries allowed per 1000 requests.
	RatioPerMille int
	// Burst is the largest number of retries that can accumulate in one failure
	// domain.
	Burst int
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
	// BaseBackoff is the largest delay before the second attempt. It doubles with
	// each further attempt.
	BaseBackoff time.Duration
	// MaxBackoff is the largest delay before any attempt.
	MaxBackoff time.Duration
}

// DefaultConfig returns the parameters of a gateway: one retry per ten requests.
func DefaultConfig() Config {
	return Config{
		RatioPerMille: 100,
		Burst:         50,
		MaxAttempts:   3,
		BaseBackoff:   20 * time.Millisecond,
		MaxBackoff:    2 * time.Second,
	}
}
