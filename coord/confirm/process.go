package confirm

// Process is one run of a process that follows the chain.
type Process struct {
	// Instance names the process.
	Instance string
	// Incarnation differs for each start of the process.
	Incarnation uint64
}
