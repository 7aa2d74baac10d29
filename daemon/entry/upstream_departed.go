package entry

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// upstreamDeparted tells the cluster duty of an upstream that has said in an answer
// that it is leaving.
type upstreamDeparted struct {
	departure roster.Departure
}

func (upstreamDeparted) isClusterMessage() {}
