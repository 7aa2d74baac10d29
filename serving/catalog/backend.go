package catalog

// Backend is a service that gets a part of a route's requests.
type Backend struct {
	// Service names the service.
	Service string
	// Weight is its part, in proportion to the other weights.
	Weight int
}
