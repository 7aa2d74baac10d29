package platform

// NotFoundError reports that a service does not have what was asked for.
type NotFoundError struct {
	// Service names the service.
	Service string
	// Name is what was asked for.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return e.Service + " has no " + e.Name
}
