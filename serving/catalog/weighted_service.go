package catalog

// WeightedService is a service that runs a part of the requests of a route.
type WeightedService struct {
	// Service names the service.
	Service string
	// Weight is the part, relative to the weights of the route's other services.
	Weight int
}
