package engine

// exportBody is the body of POST /v1/kv/export.
type exportBody struct {
	RequestID string `json:"request_id"`
}
