package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Bootstrap chooses the first configuration of a new process. As soon as the
// table service has answered, the process can start. Until then it waits for the
// configurations of several peers and takes the highest, or at the deadline the
// highest of those received. Peers without a configuration don't count.
//
// The highest of several peers is not always the newest: a version that none of
// them has yet reaches the process later, like any other process. Once a Rollout
// has found a version in force, every live peer has it.
type Bootstrap struct {
	minPeers      int
	deadline      clock.Instant
	follower      Follower
	answered      map[string]bool
	storeAnswered bool
}

// NewBootstrap returns a Bootstrap that waits for the configurations of minPeers
// peers. From the deadline on, one is enough.
func NewBootstrap(minPeers int, deadline clock.Instant) *Bootstrap {
	return &Bootstrap{minPeers: minPeers, deadline: deadline, answered: make(map[string]bool)}
}

// OfferStored handles the newest configuration from the table service: the zero
// Configuration if the chain is empty.
func (b *Bootstrap) OfferStored(c Configuration) error {
	b.storeAnswered = true
	if c.Version == 0 {
		return nil
	}
	_, err := b.follower.Offer(c)
	return err
}

// OfferFromPeer handles the configuration of a peer: the zero Configuration if
// the peer has none.
func (b *Bootstrap) OfferFromPeer(peer string, c Configuration) error {
	if c.Version == 0 {
		return nil
	}
	if _, err := b.follower.Offer(c); err != nil {
		return err
	}
	b.answered[peer] = true
	return nil
}

// Ready returns the Follower to start with. It returns false while the process
// must wait; until then the process must not admit requests.
func (b *Bootstrap) Ready(now clock.Instant) (Follower, bool) {
	enough := len(b.answered) >= b.minPeers
	timedOut := !now.Before(b.deadline) && len(b.answered) > 0
	if b.storeAnswered || enough || timedOut {
		return b.follower, true
	}
	return Follower{}, false
}
