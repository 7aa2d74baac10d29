package relay

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// attempt is the attempt of a request that is in progress at an upstream.
type attempt struct {
	ref          AttemptRef
	member       *member
	sent         clock.Instant
	lastActivity clock.Instant // last body chunk of a stream, or sent
	retryAt      clock.Instant // when another upstream is tried; 0: never
	resumes      bool          // the caller has the beginning of the stream
	head         ResponseHead
	hasHead      bool
	hasEvent     bool
	progress     int // chunks of a stream that made progress
	body         []byte
	predicted    prediction
	hasPrompt    bool
	priority     int
}

// isStarting reports whether the upstream has sent at most the first piece of its
// answer.
func (a *attempt) isStarting() bool {
	return a.progress <= 1
}
