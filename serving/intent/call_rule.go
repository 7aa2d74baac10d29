package intent

import "strings"

// CallRule matches calls of a plain service.
type CallRule struct {
	// Method is the HTTP method; empty means any.
	Method string `json:"method" validate:"max=16"`
	// PathPrefix is the beginning of the path that follows the service's name.
	PathPrefix string `json:"path_prefix" validate:"required,max=1024,startswith=/"`
}

// Matches reports whether the rule matches a call.
func (r CallRule) Matches(method, path string) bool {
	return (r.Method == "" || strings.EqualFold(r.Method, method)) && strings.HasPrefix(path, r.PathPrefix)
}
