package relay

// budgetPart counts what was sent in a part of the window.
type budgetPart struct {
	firsts, extras int
}
