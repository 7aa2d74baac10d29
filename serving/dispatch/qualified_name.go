package dispatch

// qualifiedName is the name of a model, service or pool with its member. The
// name alone is unique only within the member.
type qualifiedName struct {
	member string
	name   string
}
