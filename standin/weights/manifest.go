package weights

// Manifest is the answer to GET /weights/{model}/{version}; it takes the place
// of the weights.
type Manifest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Bytes is the size of the weights, in bytes.
	Bytes int64 `json:"bytes"`
}
