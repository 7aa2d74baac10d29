package engine

// Version is the version of the engine's program.
const Version = "1.0"

// State is the answer to GET /v1/state and to an order.
type State struct {
	// Models are in the order of their names. A model of which a new version
	// is loading is listed twice.
	Models []ModelState `json:"models"`
	// Adapters are those that are served.
	Adapters []string `json:"adapters"`
	// Role is the present role.
	Role string `json:"role"`
	// Version is the version of the engine's program.
	Version string `json:"version"`
	// LastFencing is the fencing number of the last order taken.
	LastFencing uint64 `json:"last_fencing"`
}
