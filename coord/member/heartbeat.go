package member

// Heartbeat is the message that a process sends on each of its links at every
// Config.HeartbeatEvery.
type Heartbeat struct {
	// Self is the update of the sender about itself.
	Self Update `cbor:"1,keyasint"`
	// Digest is the digest of the sender's view. If the digests of the two ends
	// of a link differ for longer than updates take to arrive, the ends
	// exchange snapshots.
	Digest uint64 `cbor:"2,keyasint"`
}
