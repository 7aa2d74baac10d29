package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
)

// publishEvidence hands over what the gateways know of prompt parts that may crash
// upstreams, a former process of this instance included.
func (c *coordinator) publishEvidence(now clock.Instant) {
	list := shiftEvidence(c.view.Evidence(), time.Duration(now)-c.storeNow(now))
	if len(list) > 0 {
		offerOrLog(c.dispatch, dispatchMessage(mergeEvidence{list: list}), c.log)
	}
}

// shiftEvidence moves the times of evidence from one clock to another.
func shiftEvidence(list []quarantine.Evidence, d time.Duration) []quarantine.Evidence {
	out := make([]quarantine.Evidence, 0, len(list))
	for _, e := range list {
		out = append(out, e.Shift(d))
	}
	return out
}
