package entry

import "github.com/sycamorecourse/sycamorecourse/serving/quarantine"

// mergeEvidence brings what other gateways know of prompt parts that may crash
// upstreams, with times of the monotonic clock.
type mergeEvidence struct {
	list []quarantine.Evidence
}

func (mergeEvidence) isDispatchMessage() {}
