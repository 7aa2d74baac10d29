package engine

// DesiredState is what an order asks the engine to serve.
type DesiredState struct {
	// Models are the models to serve; all others are unloaded.
	Models []Model `json:"models"`
	// Adapters are the adapters to serve.
	Adapters []string `json:"adapters"`
	// Role is the role to take.
	Role string `json:"role"`
}
