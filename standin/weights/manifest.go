package weights

// Manifest is the response to GET /weights/{model}/{version}. It is sent instead
// of the weights.
type Manifest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}
