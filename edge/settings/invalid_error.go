package settings

import "strings"

// InvalidError reports all invalid settings.
type InvalidError struct {
	// Violations lists the invalid settings in the order of their declaration,
	// then the violated constraints between two settings.
	Violations []Violation
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		lines = append(lines, "--"+v.Flag+"="+v.Value+": "+v.Allowed)
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}
