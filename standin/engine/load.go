package engine

// Load is the response to GET /v1/load.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int `json:"running"`
	// Queued is the number of requests waiting for a slot.
	Queued int `json:"queued"`
	// KVUsedTokens is the number of tokens of running requests and of the
	// prefix cache.
	KVUsedTokens int `json:"kv_used_tokens"`
	// KVTotalTokens is the capacity for both, in tokens.
	KVTotalTokens int `json:"kv_total_tokens"`
	// TokensPerSecond is the number of tokens generated in the second before
	// MeasuredAtMillis.
	TokensPerSecond int `json:"tokens_per_second"`
	// MeasuredAtMillis is the Unix time of the measurement, in milliseconds;
	// the configured lag makes it older than the response.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
}
