package intent

// Service is a plain service that requests are routed to.
type Service struct {
	// Name is the name of the service in requests.
	Name string `json:"name" validate:"required,max=63,name"`
	// Pool names the pool of its upstreams.
	Pool string `json:"pool" validate:"required,max=63"`
	// TimeoutMillis is the timeout of one call, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"min=1,max=600000"`
	// NonIdempotent matches the calls that are run at most once. All others may
	// be retried.
	NonIdempotent []CallRule `json:"non_idempotent" validate:"max=256,dive"`
}

// IsIdempotent reports whether a call may be retried.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, rule := range s.NonIdempotent {
		if rule.Matches(method, path) {
			return false
		}
	}
	return true
}
