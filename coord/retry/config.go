package retry

import "time"

// Config holds the parameters of a policy.
type Config struct {
	// RatioPerMille is the number of retries earned by 1000 requests.
	RatioPerMille int
	// Burst is the largest number of retries that can be saved up in one
	// failure domain.
	Burst int
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Base is the largest backoff before the second attempt.
	Base time.Duration
	// Max is the largest backoff of all.
	Max time.Duration
}

// DefaultConfig returns the parameters of a gateway: one retry in ten requests.
func DefaultConfig() Config {
	return Config{
		RatioPerMille: 100,
		Burst:         50,
		MaxAttempts:   3,
		Base:          20 * time.Millisecond,
		Max:           2 * time.Second,
	}
}
