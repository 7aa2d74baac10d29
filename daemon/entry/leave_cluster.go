package entry

// leaveCluster says that this process stops.
type leaveCluster struct{}

func (leaveCluster) isClusterMessage() {}
