package admit

// Customer holds the share and the limits of a customer.
type Customer struct {
	// Name names the customer.
	Name string
	// Share is the weight of the customer when capacity is short; less than 1
	// counts as 1.
	Share int
	// RequestsPerSecond limits the customer's requests at this gateway; 0 means
	// no limit.
	RequestsPerSecond float64
	// MaxConcurrent limits the customer's requests in progress at this gateway,
	// waiting ones included; 0 means no limit.
	MaxConcurrent int
}
