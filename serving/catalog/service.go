package catalog

// Service is a set of interchangeable upstreams.
type Service struct {
	// Name is the unique name.
	Name string
	// MaxConnections is the number of connections that one upstream accepts from
	// all gateways together; 0 means no limit.
	MaxConnections int
	// Engine describes the model engines; nil if the service has none.
	Engine *Engine
	// Autoscaling limits the orders of upstreams; nil if none may be ordered.
	Autoscaling *Autoscaling
}
