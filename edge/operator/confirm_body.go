package operator

// ConfirmBody is the body of POST /v1/plans/{id}/confirm.
type ConfirmBody struct {
	// Operator is the name of the operator who confirms.
	Operator string `json:"operator"`
	// WaitMillis is how long to wait until all live processes have the version, in
	// milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}
