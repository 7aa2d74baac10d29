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
	// Holder is the only process that may send.
	Holder Holder `cbor:"3,keyasint"`
	// Nonce tells the claims of one holder apart.
	Nonce uint64 `cbor:"4,keyasint"`
	// Attempt counts the attempts from 1. It grows only after NotRun.
	Attempt uint32 `cbor:"5,keyasint"`
	// State is where the attempt stands.
	State State `cbor:"6,keyasint"`
	// Sent reports that an earlier holder sent the request and handed over the
	// exchange; the holder must not send it again.
	Sent bool `cbor:"7,keyasint,omitempty"`
	// Answer is set in the state Completed.
	Answer Answer `cbor:"8,keyasint,omitempty"`
	// Created is the wall time of the first claim in seconds since 1970. It is
	// for removing old rows only; no decision here compares it.
	Created int64 `cbor:"9,keyasint"`
}

// DecodeRecord reads the record from a row that is present.
func DecodeRecord(r row.Row) (Record, error) {
	var record Record
	err := codec.Decode(r.Value, &record)
	return record, err
}

// isOf reports whether the record belongs to the given claim.
func (r Record) isOf(holder Holder, nonce uint64) bool {
	return r.Holder == holder && r.Nonce == nonce
}

// put returns the transaction that writes the record over the given version.
func (r Record) put(version uint64) row.Transaction {
	return row.Transaction{Changes: []row.Change{{
		Key:    r.ID.Row(),
		Expect: version,
		Value:  codec.Encode(r),
	}}}
}
