package cluster

import "github.com/fxamacker/cbor/v2"

// Encode returns the record as the value of a row.
func (r Record) Encode() ([]byte, error) {
	return cbor.Marshal(r)
}

// Decode decodes the record in the row with the given key. It fails with a
// *RecordError.
func Decode(key string, value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Record{}, &RecordError{Key: key, Err: err}
	}
	if r.Instance != key {
		return Record{}, &RecordError{Key: key, Err: &KeyMismatchError{Instance: r.Instance}}
	}
	return r, nil
}
