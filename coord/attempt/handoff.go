package attempt

// Handoff is what a holder passes to its successor when it releases a claim.
// Whoever first replaces the row at Version holds the claim, and the releasing
// process may itself try to take it back in that way.
type Handoff struct {
	// Record is the record as the former holder wrote it.
	Record Record `cbor:"1,keyasint"`
	// Version is the version of its row.
	Version uint64 `cbor:"2,keyasint"`
	// Sent reports that the request was sent, or may have been.
	Sent bool `cbor:"3,keyasint"`
}
