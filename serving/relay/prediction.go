package relay

import "time"

// prediction is the expected performance of one request at one upstream.
type prediction struct {
	firstEvent time.Duration // to the first event: unloaded + queueWait
	unloaded   time.Duration // to the first event if the upstream were idle
	queueWait  time.Duration // behind other requests
	cached     int           // prompt tokens that the upstream has cached
	uncached   int           // prompt tokens that it has to read
	open       int           // this gateway's other requests there
}
