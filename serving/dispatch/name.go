package dispatch

// name is a name within a member.
type name struct {
	member string
	name   string
}
