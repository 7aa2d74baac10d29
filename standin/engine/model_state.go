package engine

// The states of a model.
const (
	// ModelLoaded is servable.
	ModelLoaded = "loaded"
	// ModelLoading is not servable yet.
	ModelLoading = "loading"
)

// ModelState is a model of an engine and whether it is servable.
type ModelState struct {
	// Name is the name of the model.
	Name string `json:"name"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// State is loaded or loading.
	State string `json:"state"`
}
