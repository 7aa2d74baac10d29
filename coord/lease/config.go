package lease

import "time"

// Config holds the times of a lease. All candidates use the same TTL.
type Config struct {
	// TTL is the time for which watchers must see no renewal.
	TTL time.Duration
	// Margin is taken off TTL at the holder. It covers the difference of the
	// rates of two clocks over TTL.
	Margin time.Duration
	// RenewEvery is the time from one renewal to the next.
	RenewEvery time.Duration
	// WatchEvery is the time from one read of another's lease to the next.
	WatchEvery time.Duration
	// RetryEvery is the wait after a failure of the table service.
	RetryEvery time.Duration
}

// DefaultConfig returns times that allow two renewals to fail.
func DefaultConfig() Config {
	return Config{
		TTL:        10 * time.Second,
		Margin:     500 * time.Millisecond,
		RenewEvery: 3 * time.Second,
		WatchEvery: 2 * time.Second,
		RetryEvery: 500 * time.Millisecond,
	}
}
