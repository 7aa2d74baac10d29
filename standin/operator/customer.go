package operator

// Customer is a customer of a configuration.
type Customer struct {
	// Name names it to upstreams.
	Name string `json:"name"`
	// Credentials are the keys that its callers send.
	Credentials []string `json:"api_keys"`
	// Rate and Burst are its limit, a second and at once; a rate of 0 is none.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}
