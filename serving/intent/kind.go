package intent

// Kind is the kind of the upstreams of a pool.
type Kind string

// The kinds of upstream.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// PlainService is any other HTTP service.
	PlainService Kind = "service"
)
