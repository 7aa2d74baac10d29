package entry

// clusterMessage is a message to the cluster duty: requestStats, recordsRead,
// recordWritten, leaseRead, leaseWritten, countsStored, countsRead,
// usageReported, upstreamsOrdered, setFleet, setReady, leaveCluster or
// dumpCluster.
type clusterMessage interface {
	isClusterMessage()
}
