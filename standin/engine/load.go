package engine

// Load is the answer to GET /v1/load.
type Load struct {
	// Running is the number of requests in slots.
	Running int `json:"running"`
	// Queued is the number of requests that wait.
	Queued int `json:"queued"`
	// KVUsedTokens is the number of tokens in memory.
	KVUsedTokens int `json:"kv_used_tokens"`
	// KVTotalTokens is the size of the memory, in tokens.
	KVTotalTokens int `json:"kv_total_tokens"`
	// TokensPerSecond is the number of tokens generated in the second before.
	TokensPerSecond int `json:"tokens_per_second"`
	// MeasuredAtMillis is the Unix time at which this was so, in milliseconds.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
}
