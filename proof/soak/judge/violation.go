package judge

// Violation is a broken promise.
type Violation struct {
	// Rule is the promise.
	Rule Rule
	// ID names the request, if it is about one.
	ID string
	// Detail says what was seen.
	Detail string
}
