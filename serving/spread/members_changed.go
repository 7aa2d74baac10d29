package spread

// MembersChanged says that the list of members has changed.
type MembersChanged struct {
	// Changed are the members that are new or have changed.
	Changed []Member
}

func (MembersChanged) isAction() {}
