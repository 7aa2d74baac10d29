package relay

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// UpstreamDeparted reports the first answer in which an upstream says that it is
// leaving.
type UpstreamDeparted struct {
	// Departure names the start of the upstream.
	Departure roster.Departure
}

func (UpstreamDeparted) isAction() {}
