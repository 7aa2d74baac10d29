package route

import "time"

// Load is a load report of an upstream.
type Load struct {
	// Running is the number of requests in execution, from all gateways.
	Running int
	// Queued is the number of requests queued at the upstream, from all
	// gateways.
	Queued int
	// KVUsed is the number of tokens in the KV cache.
	KVUsed int64
	// KVTotal is the capacity of the KV cache in tokens.
	KVTotal int64
	// TokensPerSecond is the generation throughput.
	TokensPerSecond float64
	// Age is the time since the load was measured.
	Age time.Duration
}
