package engine

// ExportRequest is the body of POST /v1/kv/export.
type ExportRequest struct {
	// RequestID names a request that generates.
	RequestID string `json:"request_id"`
}
