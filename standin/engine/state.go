package engine

// Version is the software version that the engine reports.
const Version = "1.0"

// State is the response to GET /v1/state and POST /v1/orders.
type State struct {
	// Models are sorted by name. A model is listed twice while a new version of
	// it is loading.
	Models []ModelState `json:"models"`
	// Adapters are the adapters that are served.
	Adapters []string `json:"adapters"`
	// Role is the current role.
	Role string `json:"role"`
	// Version is the software version.
	Version string `json:"version"`
	// LastFencing is the fencing number of the last accepted order.
	LastFencing uint64 `json:"last_fencing"`
}
