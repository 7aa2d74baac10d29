package spread

// Heartbeat says that its sender is alive and sums up what it holds. It is
// sent at regular intervals, and at once after a change that is not pushed.
type Heartbeat struct {
	// Configuration is the version of the sender's configuration.
	Configuration uint64 `cbor:"1,keyasint"`
	// ReportVersion is the newest version that the sender has reports of.
	ReportVersion uint64 `cbor:"2,keyasint"`
	// Reports is the digest of the processes known to hold ReportVersion.
	Reports uint64 `cbor:"3,keyasint"`
	// Fleet is the position of the sender's view of the fleet.
	Fleet Position `cbor:"4,keyasint"`
	// Members is the digest of the sender's list of members.
	Members uint64 `cbor:"5,keyasint"`
}

func (*Heartbeat) isMessage() {}
