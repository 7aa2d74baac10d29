package entry

// clusterMessage is a message to the cluster duty: tallied, cardsRead,
// cardWritten, leaseRead, leaseWritten, decided, decidedRead, reported,
// setReady, leaveCluster or dumpCluster.
type clusterMessage interface {
	isClusterMessage()
}
