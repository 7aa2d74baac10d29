package spread

// ConfigurationReport names processes that hold a version or a higher one,
// either by their places in the list of members or by their hashes.
type ConfigurationReport struct {
	// Version is the version.
	Version uint64 `cbor:"1,keyasint"`
	// Holders are the hashes of the processes' identities.
	Holders []uint64 `cbor:"2,keyasint,omitempty"`
	// Members is the digest of the list of members that Places refers to. A
	// receiver with another list can't use Places.
	Members uint64 `cbor:"3,keyasint,omitempty"`
	// Places has a bit for each member that is not gone, in the order of their
	// identities, which is set for a holder.
	Places []byte `cbor:"4,keyasint,omitempty"`
}

func (*ConfigurationReport) isMessage() {}
