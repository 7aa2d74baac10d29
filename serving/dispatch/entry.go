package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// entry is what a Core knows of one request.
type entry struct {
	seq         uint64
	request     request.Request
	fingerprint attempt.Fingerprint
	created     int64
	target      target
	handle      Handle
	waiting     []Attach // callers that came before the request was accepted
	isAccepted  bool
	phase       phase
	arrived     clock.Instant
	deadline    clock.Instant

	queued  admit.Entry
	blocks  []uint64
	tokens  int
	tried   []string
	choice  route.Choice
	attempt int
	stream  int

	isDispatched bool // taken out of the queue, which counts it as running

	sentAt     clock.Instant
	lastToken  clock.Instant
	started    bool // the current attempt has a choice that the router counts
	firstSeen  bool // the current attempt has given a token
	mayHaveRun bool // an attempt was sent and not refused by its upstream
	reattached bool // since the last token

	isExporting  bool
	isStreamLost bool // the stream ended while it was being exported
	isImporting  bool
	cache        []byte // KV cache of a moved request, until it is imported

	log        answer.Log
	forwarded  int
	recomputed int
	isDetached bool
	detachedAt clock.Instant

	token   uint64   // of the TakeOver that is not answered yet; 0 for none
	handoff *Handoff // as offered to another gateway

	claim   *attempt.Claim
	serial  uint64
	pending bool // a call to the table service is outstanding
	ended   clock.Instant
	summary request.Summary
}

func (e *entry) ref() Ref {
	return Ref{ID: e.request.ID, Number: e.attempt, Stream: e.stream}
}

// isCurrent reports whether a reference names the running attempt.
func (e *entry) isCurrent(ref Ref) bool {
	return e.phase == phaseRunning && ref.Number == e.attempt && ref.Stream == e.stream
}

func (e *entry) isTracked() bool {
	return e.phase != phaseEnded || e.pending
}
