package settings

import "strings"

// InvalidError reports all settings that are wrong.
type InvalidError struct {
	// Faults are in the order in which the settings were declared.
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, "--"+f.Flag+"="+f.Value+": "+f.Allowed)
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}
