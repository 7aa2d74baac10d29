package engine

// importAnswer is the answer to POST /v1/kv/import.
type importAnswer struct {
	KVHandle string `json:"kv_handle"`
}
