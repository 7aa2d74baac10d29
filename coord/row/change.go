package row

// Change writes, deletes or checks one row, on condition that the row has the
// expected version. A written row gets the version Expect+1.
type Change struct {
	// Key names the row.
	Key Key
	// Expect is the version that the row must have; 0 if the row must not exist.
	Expect uint64
	// Value is the new content.
	Value []byte
	// Delete removes the row instead of writing it.
	Delete bool
	// Check only verifies the version and leaves the row unchanged.
	Check bool
}
