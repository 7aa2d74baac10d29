package entry

// peerMessage is a message to the peers duty: pollReceived, newsReceived,
// tableRead, setOwnRecord, setHubs, recordsKnown or dumpPeers.
type peerMessage interface {
	isPeerMessage()
}
