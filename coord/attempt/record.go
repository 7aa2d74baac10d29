package attempt

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Record is the value of the row of a request.
type Record struct {
	// ID names the request.
	ID ID `cbor:"1,keyasint"`
	// Fingerprint is the digest of the request.
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	// Holder identifies the only process that may send.
	Holder Holder `cbor:"3,keyasint"`
	// Nonce distinguishes the claims of one holder.
	Nonce uint64 `cbor:"4,keyasint"`
	// Attempt is the number of the attempt, from 1. It increases only after
	// NotRun.
	Attempt uint32 `cbor:"5,keyasint"`
	// State is the state of the attempt.
	State State `cbor:"6,keyasint"`
	// Sent reports that an earlier holder sent the request, or may have, and
	// handed it over; the current holder must not send it again.
	Sent bool `cbor:"7,keyasint,omitempty"`
	// Answer is set in the state Completed.
	Answer Answer `cbor:"8,keyasint,omitempty"`
	// Created is the wall time of the first claim in seconds since 1970. It is
	// used only to remove old rows, not for any decision of a Claim or Resolver.
	Created int64 `cbor:"9,keyasint"`
}

// DecodeRecord decodes the record in a row that exists.
func DecodeRecord(r row.Row) (Record, error) {
	var record Record
	err := codec.Decode(r.Value, &record)
	return record, err
}

// belongsTo reports whether the record belongs to the given claim.
func (r Record) belongsTo(holder Holder, nonce uint64) bool {
	return r.Holder == holder && r.Nonce == nonce
}

// transaction returns the transaction that replaces the given version of the row
// with the record.
func (r Record) transaction(version uint64) row.Transaction {
	return row.Transaction{Changes: []row.Change{{
		Key:    r.ID.RowKey(),
		Expect: version,
		Value:  codec.Encode(r),
	}}}
}
