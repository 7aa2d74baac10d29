package intent

// Model is a language model in one version, with its adapters.
type Model struct {
	// Name is the name of the model in requests.
	Name string `json:"name" validate:"required,max=63,name"`
	// Version is the version of the weights.
	Version string `json:"version" validate:"required,max=63"`
	// Adapters are the adapters that requests may select.
	Adapters []string `json:"adapters" validate:"max=256,unique,dive,max=63,name"`
	// FirstTokenMillis is the latency target for the first token, in
	// milliseconds.
	FirstTokenMillis int64 `json:"first_token_ms" validate:"min=1,max=600000"`
	// NextTokenMillis is the latency target between two tokens, in
	// milliseconds.
	NextTokenMillis int64 `json:"next_token_ms" validate:"min=1,max=60000"`
}
