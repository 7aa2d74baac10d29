package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
)

// LinksSectionName is the name of the section of the dump about links.
const LinksSectionName = "links"

// LinksSource makes the links a part of the dump.
func LinksSource(links *link.Links) report.Source {
	return func(reply *ring.Ring[report.Section]) error {
		return links.RequestStatus(func(list []link.Status) {
			// A report that no longer waits has closed or filled its ring.
			_ = reply.Offer(report.Section{Name: LinksSectionName, State: list})
		})
	}
}
