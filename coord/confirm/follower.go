package confirm

// Follower holds the configuration that is in force in one process. It is owned
// by one thread.
type Follower struct {
	current Configuration
}

// Offer takes a configuration from the table service or a peer. It reports
// whether it is now in force; an older one and the same one are passed over. It
// fails with an *InvalidError or a *DivergedError and then changes nothing.
func (f *Follower) Offer(c Configuration) (bool, error) {
	if err := c.Check(); err != nil {
		return false, err
	}
	if c.Version < f.current.Version {
		return false, nil
	}
	if c.Version == f.current.Version {
		return false, f.compare(c)
	}
	f.current = c
	return true, nil
}

// Current returns the configuration in force; version 0 if there is none yet.
func (f *Follower) Current() Configuration {
	return f.current
}

// IsBehind reports whether a head names a newer version.
func (f *Follower) IsBehind(head Head) bool {
	return head.Version > f.current.Version
}

func (f *Follower) compare(c Configuration) error {
	if c.Digest == f.current.Digest {
		return nil
	}
	return &DivergedError{Version: c.Version, Held: f.current.Digest, Offered: c.Digest}
}
