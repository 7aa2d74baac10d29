package engine

// The states of a model.
const (
	// ModelLoaded can be served.
	ModelLoaded = "loaded"
	// ModelLoading can't be served yet.
	ModelLoading = "loading"
)

// ModelState is a model of an engine and whether it can be served.
type ModelState struct {
	// Name is the name of the model.
	Name string `json:"name"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// State is loaded or loading.
	State string `json:"state"`
}
