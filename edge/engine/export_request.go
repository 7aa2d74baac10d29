package engine

// exportRequest is the body of POST /v1/kv/export.
type exportRequest struct {
	RequestID string `json:"request_id"`
}
