package admit

// Customer is what a customer may use.
type Customer struct {
	// Name names the customer.
	Name string
	// Share is the weight of the customer when capacity is short; less than 1
	// counts as 1.
	Share int
	// RequestsPerSecond bounds its requests at this gateway; 0 is no bound.
	RequestsPerSecond float64
	// MaxConcurrent bounds its requests in progress at this gateway, waiting
	// ones included; 0 is no bound.
	MaxConcurrent int
}
