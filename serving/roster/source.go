package roster

// Source is who has said that an upstream is leaving.
type Source string

// Sources.
const (
	// SourceStore is the upstream's entry in the store. It holds as long as the entry
	// says so.
	SourceStore Source = "store"
	// SourceAnswer is an answer of the upstream itself to this gateway. It holds for
	// that start of the upstream, whatever its entry says.
	SourceAnswer Source = "answer"
	// SourcePeer is another gateway that got such an answer.
	SourcePeer Source = "peer"
)
