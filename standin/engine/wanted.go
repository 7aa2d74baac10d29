package engine

// Wanted is the wanted state of an engine.
type Wanted struct {
	// Models are those to serve; all others are unloaded.
	Models []Model `json:"models"`
	// Adapters are those to serve.
	Adapters []string `json:"adapters"`
	// Role is the role to take.
	Role string `json:"role"`
}
