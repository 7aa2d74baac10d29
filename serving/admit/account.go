package admit

// account holds the limits and the usage of one customer.
type account struct {
	customer Customer
	bucket   tokenBucket
	// flows holds the customer's flows by pool name.
	flows map[string]*flow
	// inProgress counts the customer's entries, waiting and dispatched.
	inProgress int
	// configured is set if the last SetCustomers named the customer. Other
	// accounts are deleted when their last entry ends.
	configured bool
}

func (a *account) share() float64 {
	return float64(max(a.customer.Share, 1))
}

func (a *account) isAtLimit() bool {
	limit := a.customer.MaxConcurrent
	return limit > 0 && a.inProgress >= limit
}
