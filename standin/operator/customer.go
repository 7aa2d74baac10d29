package operator

// Customer is a customer in a Configuration.
type Customer struct {
	// Name is the unique name, which upstreams get with each request.
	Name string `json:"name"`
	// Credentials are the API keys that its callers may send.
	Credentials []string `json:"api_keys"`
	// Rate limits the requests per second, with bursts of up to Burst requests. A
	// Rate of 0 means no limit.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}
