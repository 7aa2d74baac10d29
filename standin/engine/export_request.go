package engine

// ExportRequest is the body of POST /v1/kv/export.
type ExportRequest struct {
	// RequestID identifies a request in the decode phase.
	RequestID string `json:"request_id"`
}
