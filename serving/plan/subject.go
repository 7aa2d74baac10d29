package plan

// Subject is a kind of thing that a plan can change.
type Subject string

// The subjects of changes.
const (
	// Instances are the instances of a pool, by failure domain and class.
	Instances Subject = "instances"
	// Models are loaded models with version.
	Models Subject = "model"
	// Adapters are loaded adapters.
	Adapters Subject = "adapter"
	// Roles are what the upstreams of a pool do.
	Roles Subject = "role"
	// Latency is the latency target of a model.
	Latency Subject = "latency"
	// Services are plain services and their call rules.
	Services Subject = "service"
	// Customers are customers and their credentials.
	Customers Subject = "customer"
	// Limits are limits of customers and pools.
	Limits Subject = "limit"
	// Budgets are agreed amounts.
	Budgets Subject = "budget"
)
