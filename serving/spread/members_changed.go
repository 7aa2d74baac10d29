package spread

// MembersChanged is the Action that reports a change of the list of members.
type MembersChanged struct {
	// Changed are the members that are new or have changed.
	Changed []Member
}

func (MembersChanged) isAction() {}
