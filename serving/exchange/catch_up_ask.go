package exchange

// CatchUpAsk is the message of a gateway to another one, asking for what a restored store may
// have lost.
type CatchUpAsk struct {
	// Config is the version of the configuration that the sender has; 0 if none.
	Config uint64 `cbor:"1,keyasint,omitempty"`
	// Timeline is that of the store in which the sender has read it; 0 if the store does not
	// tell.
	Timeline uint64 `cbor:"2,keyasint,omitempty"`
}
