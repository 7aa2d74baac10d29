package engine

// ImportResponse is the response to POST /v1/kv/import.
type ImportResponse struct {
	// KVHandle identifies the imported KV cache; one completion can use it.
	KVHandle string `json:"kv_handle"`
	// Tokens is the number of tokens in the KV cache.
	Tokens int `json:"tokens"`
}
