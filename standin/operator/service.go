package operator

// Service is a service of a configuration.
type Service struct {
	// Name names it.
	Name string `json:"name"`
}
