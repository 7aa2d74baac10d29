package catalog

// Customer is a tenant whose requests are limited and counted for billing.
type Customer struct {
	// Name is the unique name.
	Name string
	// Credentials are the secrets that identify requests of the customer.
	Credentials []string
	// Priority replaces the priority of the route unless it is nil.
	Priority *int
	// CountsTokens is true if the unit of the limit is tokens, false if it is
	// requests.
	CountsTokens bool
	// PlainTokens is the cost in tokens of a request without a token count.
	PlainTokens float64
	// Rate is the limit per second over all gateways; 0 means no limit.
	Rate float64
	// Burst is the amount that may be used at once beyond Rate.
	Burst float64
}
