package catalog

// Customer is who requests are made and accounted for.
type Customer struct {
	// Name names the customer.
	Name string
	// Credentials are the secrets that its requests may carry.
	Credentials []string
	// Rank takes the place of the route's; nil leaves the route's.
	Rank *int
	// CountsTokens is true when the limit is in tokens, false when in requests.
	CountsTokens bool
	// PlainTokens is what a request without a token count is counted as.
	PlainTokens float64
	// Rate is the limit a second over all gateways; 0 is no limit.
	Rate float64
	// Burst is what may be used at once beyond the rate.
	Burst float64
}
