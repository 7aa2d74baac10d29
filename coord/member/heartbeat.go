package member

// Heartbeat is what a process sends on each of its links at every interval.
type Heartbeat struct {
	// Self is the news that the process gives of itself.
	Self Update `cbor:"1,keyasint"`
	// Digest is the digest of its view. Two ends whose digests differ for
	// longer than news is under way exchange their snapshots.
	Digest uint64 `cbor:"2,keyasint"`
}
