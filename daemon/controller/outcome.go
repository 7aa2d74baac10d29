package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// outcome is what became of a start or an end. It is noted in the ledger with
// the next write.
type outcome struct {
	// token names a start.
	token string
	// instance is the ID; empty when a start was refused.
	instance string
	// ended is true for an end.
	ended bool
}

// apply notes the outcome. Noting it twice is the same as once.
func (o outcome) apply(l *place.Ledger) {
	switch {
	case o.ended:
		l.Remove(o.instance)
	case o.instance == "":
		l.RemoveRefused(o.token)
	default:
		l.MarkStarted(o.token, o.instance)
	}
}
