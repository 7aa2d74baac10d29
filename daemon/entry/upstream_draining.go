package entry

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// upstreamDraining tells the cluster duty of an upstream that has said in an answer
// that it is leaving.
type upstreamDraining struct {
	incarnation roster.Incarnation
}

func (upstreamDraining) isClusterMessage() {}
