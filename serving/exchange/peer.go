package exchange

// Peer is another gateway, which may know what a restored store has lost.
type Peer struct {
	// Instance names it.
	Instance string
	// Address is where it answers other gateways.
	Address string
	// Config is the version of the configuration that it is known to use; 0 if none is.
	Config uint64
	// IsLive is set if it has written its record lately.
	IsLive bool
}
