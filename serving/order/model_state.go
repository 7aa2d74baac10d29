package order

// ModelState is a model of an engine with its loading state.
type ModelState struct {
	Model
	// State is ModelLoaded or ModelLoading.
	State string `json:"state"`
}

// The states of a model.
const (
	// ModelLoaded means that the engine serves the model.
	ModelLoaded = "loaded"
	// ModelLoading means that the engine still reads the weights.
	ModelLoading = "loading"
)
