package confirm

// Process identifies a process that follows the chain, from its start to its
// end.
type Process struct {
	// Instance names the process.
	Instance string
	// Incarnation differs for each start of the process.
	Incarnation uint64
}
