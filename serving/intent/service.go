package intent

// Service is a plain service that requests are routed to.
type Service struct {
	// Name is how callers name the service.
	Name string `json:"name" validate:"required,max=63,name"`
	// Pool names the pool of its upstreams.
	Pool string `json:"pool" validate:"required,max=63"`
	// TimeoutMillis bounds one call, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"min=1,max=600000"`
	// NonIdempotent lists the calls that run at most once. All others may be
	// repeated.
	NonIdempotent []CallRule `json:"non_idempotent" validate:"max=256,dive"`
}

// IsIdempotent reports whether a call may be repeated.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, rule := range s.NonIdempotent {
		if rule.Matches(method, path) {
			return false
		}
	}
	return true
}
