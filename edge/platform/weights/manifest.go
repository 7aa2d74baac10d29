package weights

// Manifest describes the weights of a model.
type Manifest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Bytes is the size of the weights in bytes.
	Bytes int64 `json:"bytes"`
}
