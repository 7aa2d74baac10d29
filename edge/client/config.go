package client

import "time"

// Config configures a Client. Fields other than SeedAddresses and Credential that
// are zero get their defaults.
type Config struct {
	// SeedAddresses are the gateways from which the list of all gateways is first
	// fetched.
	SeedAddresses []string
	// Credential is the bearer token that identifies the customer.
	Credential string
	// AddressTimeout is the time limit of one fetch of the addresses, and of Cancel.
	// Default 2 s.
	AddressTimeout time.Duration
	// MaxTries is the maximum number of times that one request is sent or resumed.
	// Default 8.
	MaxTries int
	// MinRetryDelay is the minimum delay between two tries. Default 50 ms.
	MinRetryDelay time.Duration
	// RandomSeed makes the choice of addresses repeatable; 0 selects a random seed.
	RandomSeed uint64
}

func (c Config) withDefaults() Config {
	if c.AddressTimeout <= 0 {
		c.AddressTimeout = 2 * time.Second
	}
	if c.MaxTries <= 0 {
		c.MaxTries = 8
	}
	if c.MinRetryDelay <= 0 {
		c.MinRetryDelay = 50 * time.Millisecond
	}
	return c
}
