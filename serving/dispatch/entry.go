package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// entry is the state of one request. It outlives the request by
// Config.Retention.
type entry struct {
	seq            uint64 // identifies the entry in the queue
	request        request.Request
	fingerprint    attempt.Fingerprint
	arrivedUnix    int64
	target         target
	handle         CallerHandle // of the caller that made the request
	waitingCallers []Attach     // callers that came before the request was accepted
	isAccepted     bool
	phase          phase
	arrivedAt      clock.Instant
	deadline       clock.Instant

	queueEntry    admit.Entry
	promptBlocks  []uint64
	promptTokens  int
	triedReplicas []string // to be avoided by the next attempt
	choice        route.Choice
	attempt       int
	attemptID     string // StreamRef.AttemptID of the current attempt
	stream        int

	isDispatched bool // taken out of the queue, which counts it as running

	sentAt          clock.Instant
	lastTokenAt     clock.Instant
	occupiesReplica bool // the router counts the current attempt at choice
	hasFirstToken   bool // the current attempt has produced a token
	mayHaveRun      bool // an attempt was sent and not refused by its upstream
	isReattached    bool // the stream was reattached since the last token

	isExporting  bool
	isStreamLost bool // the stream ended while it was being exported
	isImporting  bool
	kvCache      []byte // KV cache of a moved request, until an attempt with it gives a token

	answer           answer.Log
	delivered        int // number of pieces passed on to callers
	recomputedTokens int
	hasNoCaller      bool
	callersGoneAt    clock.Instant // ResumeGrace counts from here

	takeOverToken uint64   // of the TakeOver without a result so far; 0 for none
	handoff       *Handoff // as offered to another gateway

	claim              *attempt.Claim // nil for an idempotent request
	storeCallSerial    uint64         // of the last call to the table service
	isStoreCallPending bool
	endedAt            clock.Instant
	summary            request.Summary
}

func (e *entry) ref() StreamRef {
	return StreamRef{ID: e.request.ID, Attempt: e.attempt, AttemptID: e.attemptID, Stream: e.stream}
}

// isCurrent reports whether ref identifies the current stream of a running
// attempt.
func (e *entry) isCurrent(ref StreamRef) bool {
	return e.phase == phaseRunning && ref == e.ref()
}

// isActive reports whether the request is open or its record is being written
// or read.
func (e *entry) isActive() bool {
	return e.phase != phaseEnded || e.isStoreCallPending
}
