package world

import (
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Upstream is a stand-in of an upstream behind a relay.
type Upstream struct {
	// ID names its present start.
	ID string
	// Service is what it runs.
	Service string
	// Version is the version of its software.
	Version string
	// StartedAtMillis is its start in Unix milliseconds; 0 if its entries do not tell.
	StartedAtMillis int64
	// Replica is the stand-in.
	Replica *replica.Replica
	// Relay stands before it.
	Relay *relay.Relay

	// restarts counts the starts after the first one, and firstID is the ID of that.
	restarts int
	firstID  string

	thread *thread.Thread
}
