package check

import "fmt"

// Violation is a breach of a rule.
type Violation struct {
	// Rule was broken.
	Rule Rule
	// Customer and Key name the request.
	Customer string
	// Key is the key of the request.
	Key string
	// Detail says what was seen.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s %s: %s", v.Rule, v.Customer, v.Key, v.Detail)
}
