package attempt

// Handoff is what a holder passes to its successor when it releases a claim.
// The process that first replaces the row at Version holds the claim. The
// releasing process may use the Handoff too, to take the claim back.
type Handoff struct {
	// Record is the record as the previous holder wrote it.
	Record Record `cbor:"1,keyasint"`
	// Version is the version of its row.
	Version uint64 `cbor:"2,keyasint"`
	// Sent reports that the request was sent, or may have been.
	Sent bool `cbor:"3,keyasint"`
}
