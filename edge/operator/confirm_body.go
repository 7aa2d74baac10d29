package operator

// ConfirmBody is the body of POST /v1/plans/{id}/confirm.
type ConfirmBody struct {
	// Operator names who confirms.
	Operator string `json:"operator"`
	// WaitMillis is how long to wait for all processes, in milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}
