package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
)

// LinksSectionName is the name of the section of the state dump about links.
const LinksSectionName = "links"

// LinksSource returns the source of the section about links.
func LinksSource(links *link.Links) report.Source {
	return func(reply *ring.Ring[report.Section]) error {
		return links.RequestStatus(func(list []link.Status) {
			// An error means that the report no longer waits for the section.
			_ = reply.Offer(report.Section{Name: LinksSectionName, State: list})
		})
	}
}
