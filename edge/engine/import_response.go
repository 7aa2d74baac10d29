package engine

// importResponse is the body of the response to POST /v1/kv/import.
type importResponse struct {
	KVHandle string `json:"kv_handle"`
}
