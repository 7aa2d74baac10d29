package route

import "time"

// Load is what an upstream reports about itself.
type Load struct {
	// Running is the number of requests being run, of all gateways.
	Running int
	// Queued is the number of requests waiting at the upstream.
	Queued int
	// KVUsed is the number of tokens that the KV cache holds.
	KVUsed int64
	// KVTotal is the number of tokens that the KV cache has room for.
	KVTotal int64
	// TokensPerSecond is the number of tokens generated a second.
	TokensPerSecond float64
	// Age is how long ago the report was true.
	Age time.Duration
}
