package entry

// clusterMessage is a message to the cluster duty: requestStats, recordsRead,
// recordWritten, recordsKnown, leaseRead, leaseWritten, countsStored, countsRead,
// timelineStored, timelineRead, usageReported, upstreamsOrdered, setFleet, setReady,
// gatewaysWanted, leaveCluster or dumpCluster.
type clusterMessage interface {
	isClusterMessage()
}
