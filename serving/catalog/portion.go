package catalog

// Portion is a service that gets a part of a route's requests.
type Portion struct {
	// Service names the service.
	Service string
	// Weight is its part, in proportion to the other weights.
	Weight int
}
