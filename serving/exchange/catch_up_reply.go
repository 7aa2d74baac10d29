package exchange

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// CatchUpReply is the response to a CatchUpAsk.
type CatchUpReply struct {
	// Config is the version of the configuration that the sender uses; 0 if none.
	Config uint64 `cbor:"1,keyasint,omitempty"`
	// Timeline is that of the store in which the configuration was read, by the sender or by
	// the gateway that it has it from; 0 if the store does not tell.
	Timeline uint64 `cbor:"2,keyasint,omitempty"`
	// Value is that configuration as the operator has written it, if the sender of the
	// CatchUpAsk has an older one or none.
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Former is what the sender knows of upstreams from before the Timeline of the CatchUpAsk.
	Former roster.Former `cbor:"4,keyasint,omitempty"`
}
