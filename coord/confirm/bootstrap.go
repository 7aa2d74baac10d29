package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Bootstrap chooses the first configuration of a new process. Once the table
// service has answered, that answer is final. Without it the process waits for
// the answers of several peers and takes the highest, or at the end of the wait
// the highest of those that came. Peers without a configuration don't count.
//
// The highest of several is not always the newest: a version that no asked peer
// has yet is missed, and follows later as for every other process. Once a
// Rollout has found a version in force, every live peer has it.
type Bootstrap struct {
	need     int
	until    clock.Instant
	follower Follower
	answered map[string]bool
	final    bool
}

// NewBootstrap makes a bootstrap that waits for the answers of need peers, but
// not beyond until.
func NewBootstrap(need int, until clock.Instant) *Bootstrap {
	return &Bootstrap{need: need, until: until, answered: make(map[string]bool)}
}

// Stored takes the newest configuration from the table service; the zero
// Configuration for an empty chain.
func (b *Bootstrap) Stored(c Configuration) error {
	b.final = true
	if c.Version == 0 {
		return nil
	}
	_, err := b.follower.Offer(c)
	return err
}

// Answered takes the configuration of a peer; the zero Configuration if the
// peer has none.
func (b *Bootstrap) Answered(peer string, c Configuration) error {
	if c.Version == 0 {
		return nil
	}
	if _, err := b.follower.Offer(c); err != nil {
		return err
	}
	b.answered[peer] = true
	return nil
}

// Ready returns the follower to start with. It reports false while the process
// has to wait; it then admits nothing.
func (b *Bootstrap) Ready(now clock.Instant) (Follower, bool) {
	enough := len(b.answered) >= b.need
	late := !now.Before(b.until) && len(b.answered) > 0
	if b.final || enough || late {
		return b.follower, true
	}
	return Follower{}, false
}
