package exchange

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// askedPeer is what a CatchUp knows of another gateway in the present timeline.
type askedPeer struct {
	Peer
	// isOpen is set while an ask has no outcome.
	isOpen bool
	// hasAnswered is set once it has told which configuration it uses, and isSettled once no
	// answer is to be waited for: it has answered, or can't.
	hasAnswered, isSettled bool
	failures               int
	// retryAt is when it may be asked again.
	retryAt clock.Instant
}

// canBeAsked reports whether an ask may begin.
func (p *askedPeer) canBeAsked(now clock.Instant) bool {
	return !p.isOpen && !now.Before(p.retryAt)
}
