package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// LogEntry reports a retry or the end of a request, for the log and the metrics.
type LogEntry struct {
	// Event is RequestRetried or RequestEnded.
	Event LogEvent
	// Handle is the request.
	Handle Handle
	// ID is the request ID that the caller chose.
	ID string
	// Route names the route; empty if none matched.
	Route string
	// Customer names the customer; empty if there is none.
	Customer string
	// Upstream is the ID of the upstream of the last attempt; empty if there was
	// no attempt.
	Upstream string
	// Attempts is the number of attempts.
	Attempts int
	// Reason is how the request ended; empty for a retry.
	Reason Reason
	// NotRun is true if no upstream has run the request.
	NotRun bool
	// Status is the last upstream status; 0 if there was none.
	Status int
	// TimeToFirstEvent is the time from the arrival to the first event of a
	// stream, or to the end of another response; 0 if there was none.
	TimeToFirstEvent time.Duration
	// Elapsed is the time since the arrival.
	Elapsed time.Duration
	// PredictedFirstEvent is the predicted time to the first event of the last
	// attempt.
	PredictedFirstEvent time.Duration
	// CachedTokens is the number of prompt tokens that the upstream was predicted
	// to have cached.
	CachedTokens int
	// Open is the number of this gateway's requests at the upstream when the
	// last attempt was sent.
	Open int
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// UpstreamListAge is the time since the list of upstreams was last known to
	// be current.
	UpstreamListAge time.Duration
	// Detail is the cause of the last failure.
	Detail string
	// Limit is the state of the customer's limit if the request was refused for it.
	Limit *limit.Facts
}

func (LogEntry) isAction() {}
