package plan

// Subject is a kind of value that a plan can change.
type Subject string

// The subjects of changes.
const (
	// Instances are the instances of a pool, by failure domain and class.
	Instances Subject = "instances"
	// Models are the versions of models.
	Models Subject = "model"
	// Adapters are the adapters of models.
	Adapters Subject = "adapter"
	// Roles are the kinds and models of pools.
	Roles Subject = "role"
	// Latency is the latency targets of models.
	Latency Subject = "latency"
	// Services are plain services and their call rules.
	Services Subject = "service"
	// Customers are customers and their credentials.
	Customers Subject = "customer"
	// Limits are the limits of customers, and the size and limits of pools.
	Limits Subject = "limit"
	// Budgets are the agreed amounts of a member and of the total.
	Budgets Subject = "budget"
)
