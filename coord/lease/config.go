package lease

import "time"

// Config holds the durations of a lease. All candidates must use the same TTL.
type Config struct {
	// TTL is the time without a renewal after which other candidates take the lease
	// over.
	TTL time.Duration
	// Margin is subtracted from TTL by the holder. It covers the different rates of
	// two clocks over TTL.
	Margin time.Duration
	// RenewEvery is the interval between renewals.
	RenewEvery time.Duration
	// WatchEvery is the interval between reads of a lease that another process holds.
	WatchEvery time.Duration
	// RetryEvery is the delay after a failure of the table service.
	RetryEvery time.Duration
}

// DefaultConfig returns durations that allow two renewals in a row to fail.
func DefaultConfig() Config {
	return Config{
		TTL:        10 * time.Second,
		Margin:     500 * time.Millisecond,
		RenewEvery: 3 * time.Second,
		WatchEvery: 2 * time.Second,
		RetryEvery: 500 * time.Millisecond,
	}
}
