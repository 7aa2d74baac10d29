package entry

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// directoryMessage is a message to the directory duty. Exactly one field is set.
type directoryMessage struct {
	// exchange is a request to respond to.
	exchange *httpd.Exchange
	// addresses replaces the addresses of the ready gateways.
	addresses []string
	// isConfigured reports that this process has a configuration and a list of
	// upstreams.
	isConfigured bool
	// isLeaving reports that this process stops.
	isLeaving bool
}
