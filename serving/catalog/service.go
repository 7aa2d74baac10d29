package catalog

// Service is a set of upstreams that run the same requests.
type Service struct {
	// Name names the service.
	Name string
	// MaxConnections is the number of connections that one upstream accepts from
	// all gateways.
	MaxConnections int
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
	// Scale bounds what may be ordered; nil if nothing may.
	Scale *Scale
}
