package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// operatorsEvent is a message to the operators duty. Exactly one field is set.
type operatorsEvent struct {
	exchange *httpd.Exchange
	result   *commandResult
	stop     bool
	dump     *ring.Ring[report.Section]
}
