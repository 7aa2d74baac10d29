package site

// Kind is a kind of upstream.
type Kind string

// The kinds of upstream.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// PlainService is any other HTTP service.
	PlainService Kind = "service"
)
