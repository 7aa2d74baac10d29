package engine

// Imported is the answer to POST /v1/kv/import.
type Imported struct {
	// KVHandle names the imported KV cache for one completion.
	KVHandle string `json:"kv_handle"`
	// Tokens is the number of its tokens.
	Tokens int `json:"tokens"`
}
