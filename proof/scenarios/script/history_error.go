package script

import (
	"fmt"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/check"
)

// shownViolations bounds the violations in a message.
const shownViolations = 10

// HistoryError reports breaches of the rules.
type HistoryError struct {
	// Summary counts the outcomes.
	Summary string
	// Violations are the breaches.
	Violations []*check.Violation
}

// Error implements error.
func (e *HistoryError) Error() string {
	var lines []string
	for _, v := range e.Violations[:min(len(e.Violations), shownViolations)] {
		lines = append(lines, v.Error())
	}
	return fmt.Sprintf("%d violations; %s\n%s", len(e.Violations), e.Summary, strings.Join(lines, "\n"))
}
