package order

// ModelState is a model of an engine and whether it can be served.
type ModelState struct {
	Model
	// State is ModelLoaded or ModelLoading.
	State string `json:"state"`
}

// The states of a model.
const (
	// ModelLoaded can be served.
	ModelLoaded = "loaded"
	// ModelLoading can't be served yet.
	ModelLoading = "loading"
)
