package catalog

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
}
