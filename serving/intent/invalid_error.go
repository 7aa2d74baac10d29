package intent

import "strings"

// InvalidError reports all violations of a document.
type InvalidError struct {
	// Violations are those of single fields, in the order of the document, and
	// then the references to names that the document doesn't define.
	Violations []Violation
}

// Error implements error.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("invalid intent")
	for i, f := range e.Violations {
		if i == 0 {
			b.WriteString(": ")
		} else {
			b.WriteString("; ")
		}
		b.WriteString(f.Path + ": " + f.Problem)
	}
	return b.String()
}
