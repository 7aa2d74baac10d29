package entry

// clusterMessage is a message to the cluster duty: tallied, cardsRead,
// cardWritten, leaseRead, leaseWritten, decided, decidedRead, reported,
// ordered, setFleet,
// setReady, leaveCluster or dumpCluster.
type clusterMessage interface {
	isClusterMessage()
}
