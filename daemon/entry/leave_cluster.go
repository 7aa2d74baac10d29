package entry

// leaveCluster reports that this process stops.
type leaveCluster struct{}

func (leaveCluster) isClusterMessage() {}
