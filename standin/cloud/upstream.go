package cloud

// Upstream is what runs on an instance.
type Upstream interface {
	// Address is the IP and port that it listens on.
	Address() string
	// Stop ends it with all its connections.
	Stop()
}
