package usage

// Counts holds numbers of requests by customer.
type Counts map[string]uint64

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}
