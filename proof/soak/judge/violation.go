package judge

// Violation is a broken invariant.
type Violation struct {
	// Rule is the invariant.
	Rule Rule
	// ID names the request, if it is about one.
	ID string
	// Detail says what was seen.
	Detail string
}
