package exchange

// Cursor is how far a follower of a table has come. It decides for all followers whether
// an update counts. The zero Cursor has read nothing. One thread owns it.
type Cursor struct {
	position Position
}

// Position returns the position up to which the follower has the table.
func (c *Cursor) Position() Position {
	return c.position
}

// Accept decides on an update and moves on if it is to be applied. In a later timeline of
// the store only a list counts, however low its version: the store may have lost changes
// that the follower knows, and changes tell nothing of that.
func (c *Cursor) Accept(s Span) Verdict {
	verdict := c.judge(s)
	if verdict.IsApplied() {
		c.position = s.End
	}
	return verdict
}

func (c *Cursor) judge(s Span) Verdict {
	known, end := c.position, s.End
	isLater := end.Timeline > known.Timeline
	switch {
	case end.Timeline < known.Timeline:
		return Stale
	case s.IsList && known.Version == 0:
		return Applied
	case s.IsList && isLater:
		return Restored
	case !s.IsList && (isLater || known.Version == 0):
		return Gap
	case end.Version < known.Version:
		return Stale
	case !s.IsList && s.Since > known.Version:
		return Gap
	default:
		return Applied
	}
}
