package roster

// Restored tells what Roster.Restore has made of the list of a restored store.
type Restored struct {
	// Leaving are the upstreams that the list calls ready and that are known to leave.
	Leaving []Incarnation
	// Withheld is the number of upstreams that are not used until their writers have
	// written again, and Lapsed that of those which the list lacks and which stay usable
	// for as long.
	Withheld, Lapsed int
}
