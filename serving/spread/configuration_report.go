package spread

// ConfigurationReport tells which processes hold a configuration version or a
// higher one: by their names or, in less space, by a bitmap over
// the list of members.
type ConfigurationReport struct {
	// Version is the configuration version.
	Version uint64 `cbor:"1,keyasint"`
	// Holders are the names of holders, see Member.holderName.
	Holders []uint64 `cbor:"2,keyasint,omitempty"`
	// Members is the digest of the list of members that Bitmap refers to. A
	// receiver whose list has another digest ignores Bitmap.
	Members uint64 `cbor:"3,keyasint,omitempty"`
	// Bitmap has a bit for each member that is not gone, in the order of the
	// IDs, least significant bit first. The bits of holders are set.
	Bitmap []byte `cbor:"4,keyasint,omitempty"`
}

func (*ConfigurationReport) isMessage() {}
