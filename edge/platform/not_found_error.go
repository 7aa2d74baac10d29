package platform

// NotFoundError reports that a service does not have the requested item.
type NotFoundError struct {
	// Service is the name of the service.
	Service string
	// Name is the name of the requested item.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return e.Service + " has no " + e.Name
}
