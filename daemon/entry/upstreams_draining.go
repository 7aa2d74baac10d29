package entry

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// upstreamsDraining tells the cluster duty of upstreams of which the others may not know
// that they are leaving: they have said so in an answer, or in an entry that the store has
// lost.
type upstreamsDraining struct {
	incarnations []roster.Incarnation
}

func (upstreamsDraining) isClusterMessage() {}
