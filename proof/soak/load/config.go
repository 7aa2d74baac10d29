package load

import "time"

// Config sets up a Group.
type Config struct {
	// Count is the number of callers.
	Count int
	// Seed fixes their choices.
	Seed uint64
	// Directories are the addresses that are asked which to use.
	Directories []string
	// Ways maps an address of a gateway to that of the relay which callers connect to.
	Ways map[string]string
	// Host and Credential are those of all requests.
	Host, Credential string
	// Kinds are drawn from evenly; nil are all.
	Kinds []Kind
	// Deadline is the timeout that a caller sends with its requests; 0 takes the usual
	// one. It waits a second longer.
	Deadline time.Duration
	// Newest is the version of the newest configuration.
	Newest func() int
}
