package relay

import "github.com/sycamorecourse/sycamorecourse/serving/quarantine"

// QuarantineChanged reports a change of the quarantine of a prompt part, for the log.
type QuarantineChanged struct {
	// Change is what has changed.
	Change quarantine.Change
}

func (QuarantineChanged) isAction() {}
