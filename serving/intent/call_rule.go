package intent

import "strings"

// CallRule names calls of a plain service.
type CallRule struct {
	// Method is the HTTP method; empty means any.
	Method string `json:"method" validate:"max=16"`
	// PathPrefix is how the path begins, after the name of the service.
	PathPrefix string `json:"path_prefix" validate:"required,max=1024,startswith=/"`
}

// Matches reports whether the rule names a call.
func (r CallRule) Matches(method, path string) bool {
	return (r.Method == "" || strings.EqualFold(r.Method, method)) && strings.HasPrefix(path, r.PathPrefix)
}
