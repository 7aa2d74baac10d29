package spread

// Heartbeat shows that its sender is alive and summarizes its state. It is sent
// periodically, and at once after a change that is announced but not pushed: a
// new configuration or a fleet snapshot.
type Heartbeat struct {
	// Configuration is the version of the sender's configuration.
	Configuration uint64 `cbor:"1,keyasint"`
	// ReportVersion is the newest configuration version reported to the sender.
	ReportVersion uint64 `cbor:"2,keyasint"`
	// Reports is the digest of the processes known to hold ReportVersion.
	Reports uint64 `cbor:"3,keyasint"`
	// Fleet is the position of the sender's view of the fleet.
	Fleet FleetPosition `cbor:"4,keyasint"`
	// Members is the digest of the sender's members that are not gone.
	Members uint64 `cbor:"5,keyasint"`
}

func (*Heartbeat) isMessage() {}
