package entry

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// directoryMessage is a message to the directory duty. One field is set, or
// isLeaving.
type directoryMessage struct {
	exchange  *httpd.Exchange
	addresses []string
	// configured says that this process knows a configuration and upstreams.
	configured bool
	isLeaving  bool
}
