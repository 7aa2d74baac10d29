package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// outcome is the result of starting or ending an instance. It is recorded in
// the pool's ledger by the next write.
type outcome struct {
	// token identifies a start.
	token string
	// instance is the instance ID; empty when a start was refused.
	instance string
	// ended is true if the instance was ended.
	ended bool
}

// apply records the outcome in a ledger. It is idempotent.
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
