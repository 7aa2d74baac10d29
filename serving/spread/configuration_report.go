package spread

// ConfigurationReport names processes that hold a version or a higher one.
type ConfigurationReport struct {
	// Version is the version.
	Version uint64 `cbor:"1,keyasint"`
	// Holders are the hashes of the processes' identities.
	Holders []uint64 `cbor:"2,keyasint"`
}

func (*ConfigurationReport) isMessage() {}
