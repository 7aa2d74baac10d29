package intent

import "strings"

// InvalidError reports all that is wrong with a document.
type InvalidError struct {
	// Faults are in the order of the document.
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("invalid intent")
	for i, f := range e.Faults {
		if i == 0 {
			b.WriteString(": ")
		} else {
			b.WriteString("; ")
		}
		b.WriteString(f.Path + ": " + f.Problem)
	}
	return b.String()
}
