package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// operatorsEvent is a message to the operators duty: one of its fields is set.
type operatorsEvent struct {
	exchange *httpd.Exchange
	answer   *answer
	stop     bool
	dump     *ring.Ring[report.Section]
}
