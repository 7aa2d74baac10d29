package row

// Change writes or deletes one row, provided that its version is still as
// expected. A written row gets the version Expect+1.
type Change struct {
	// Key names the row.
	Key Key
	// Expect is the version that the row must have; 0: the row must be absent.
	Expect uint64
	// Value is the new content.
	Value []byte
	// Delete removes the row.
	Delete bool
	// Check verifies the version and writes nothing.
	Check bool
}
