package client

import "time"

// Config sets up a Client. The zero value of each field but Seeds takes its
// default.
type Config struct {
	// Seeds are addresses of gateways, asked for the list of all.
	Seeds []string
	// Credential proves to the system which customer this is.
	Credential string
	// AddressTimeout bounds one question for the addresses. Default 2 s.
	AddressTimeout time.Duration
	// MaxTries bounds how often one request is sent or resumed. Default 8.
	MaxTries int
	// Pause is the least time between two tries. Default 50 ms.
	Pause time.Duration
	// Seed makes the choice of addresses repeatable; 0 means any.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.AddressTimeout <= 0 {
		c.AddressTimeout = 2 * time.Second
	}
	if c.MaxTries <= 0 {
		c.MaxTries = 8
	}
	if c.Pause <= 0 {
		c.Pause = 50 * time.Millisecond
	}
	return c
}
