package exchange

// Entry is a row of a followed table.
type Entry struct {
	// Key is the key of the row.
	Key string `cbor:"1,keyasint"`
	// Value is the value of the row; empty if it was removed.
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Version is the store's version at the last change of the row.
	Version uint64 `cbor:"3,keyasint"`
	// Removed is set if the row was removed.
	Removed bool `cbor:"4,keyasint,omitempty"`
}
