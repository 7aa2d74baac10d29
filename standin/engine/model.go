package engine

// Model identifies a version of a model.
type Model struct {
	// Name is the name of the model.
	Name string `json:"name"`
	// Version is the version of the weights.
	Version string `json:"version"`
}
