package confirm

// Follower holds the configuration that is in force in one process. It must be
// used by one thread only.
type Follower struct {
	current Configuration
}

// Offer handles a configuration from the table service or a peer. It returns true
// if the configuration has come into force, and ignores one that is older or
// already in force. The error is an *InvalidError or a *DivergedError; it leaves
// the Follower unchanged.
func (f *Follower) Offer(c Configuration) (bool, error) {
	if err := c.Check(); err != nil {
		return false, err
	}
	if c.Version < f.current.Version {
		return false, nil
	}
	if c.Version == f.current.Version {
		return false, f.checkDigest(c)
	}
	f.current = c
	return true, nil
}

// Current returns the configuration in force, with version 0 if there is none
// yet.
func (f *Follower) Current() Configuration {
	return f.current
}

// IsBehind reports whether the head has a newer version.
func (f *Follower) IsBehind(head Head) bool {
	return head.Version > f.current.Version
}

func (f *Follower) checkDigest(c Configuration) error {
	if c.Digest == f.current.Digest {
		return nil
	}
	return &DivergedError{Version: c.Version, HeldDigest: f.current.Digest, OfferedDigest: c.Digest}
}
