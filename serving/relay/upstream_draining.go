package relay

import "github.com/sycamorecourse/sycamorecourse/serving/roster"

// UpstreamDraining reports the first answer in which an upstream says that it is
// leaving.
type UpstreamDraining struct {
	// Incarnation names the start of the upstream.
	Incarnation roster.Incarnation
}

func (UpstreamDraining) isAction() {}
