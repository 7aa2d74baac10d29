package cloud

// Upstream is the server that runs on an instance.
type Upstream interface {
	// Address returns the IP and port that it listens on.
	Address() string
	// Stop ends it and closes its connections.
	Stop()
}
