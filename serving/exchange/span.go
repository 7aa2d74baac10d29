package exchange

// Span is the part of a table's history that an update tells.
type Span struct {
	// End is the position up to which the update is complete.
	End Position
	// IsList is set if the update is the whole table and not only what has changed.
	IsList bool
	// Since is the version, in the timeline of End, after which the update has all changes.
	// A list has none.
	Since uint64
}
