package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
)

// requestState is the state of a request in progress.
type requestState struct {
	request  Request
	route    *catalog.Route
	customer *catalog.Customer
	pool     *pool
	// sharedParts are the parts of the prompt that others may contain too.
	sharedParts []quarantine.Part
	arrived     clock.Instant
	deadline    clock.Instant // when the request times out

	attempts      int      // sent so far
	possibleRuns  int      // attempts not known to be not run
	attempt       *attempt // in progress; nil if there is none
	tried         []*member
	mayHaveRun    bool // a past attempt may have been run by its upstream
	streamStarted bool // the caller has the head of the stream
	lastEvent     int64
	firstEventAt  clock.Instant // first event or complete response; 0: none yet
	abandoned     bool          // the caller has disconnected
	status        int
	detail        string
	upstream      string
	predicted     prediction
	// firstEventTook is the time from the last send to the first event or the complete
	// response; 0 if there was none.
	firstEventTook time.Duration

	// asked are the gateways that were asked whether the customer's limit admits the
	// request, and isAsking is true until the last one has answered.
	asked    []string
	isAsking bool
	// wasGranted is true if one of them has admitted the request.
	wasGranted bool
	// limitFacts are what the request was refused for by its customer's limit.
	limitFacts *limit.Facts
}

func (s *requestState) ref() AttemptRef {
	return AttemptRef{Handle: s.request.Handle, Attempt: s.attempts}
}

// hasPart reports whether a part is among the shared parts of the prompt.
func (s *requestState) hasPart(id uint64) bool {
	for _, part := range s.sharedParts {
		if part.ID == id {
			return true
		}
	}
	return false
}
