package operator

// Service is a service in a Configuration.
type Service struct {
	// Name is the unique name that routes and upstreams refer to.
	Name string `json:"name"`
}
