package admit

// account is what is known of a customer.
type account struct {
	customer Customer
	bucket   tokenBucket
	// flows holds its flows by pool.
	flows map[string]*flow
	// inProgress counts its entries, waiting and dispatched.
	inProgress int
	// configured accounts were named by SetCustomers.
	configured bool
}

func (a *account) share() float64 {
	return float64(max(a.customer.Share, 1))
}

func (a *account) isFull() bool {
	limit := a.customer.MaxConcurrent
	return limit > 0 && a.inProgress >= limit
}
