package entry

// watchRole tells the watch duty whether this gateway is a hub, which follows the
// store for others.
type watchRole struct {
	isHub bool
}
