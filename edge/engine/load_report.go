package engine

// loadReport is the body of the response to GET /v1/load.
type loadReport struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	KVUsedTokens    int64   `json:"kv_used_tokens"`
	KVTotalTokens   int64   `json:"kv_total_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	MeasuredAtMS    int64   `json:"measured_at_ms"`
}
