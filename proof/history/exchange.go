package history

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const (
	mostQueueing     = 600 * time.Millisecond
	mostServing      = 4 * time.Second
	handOverPerMille = 150
	refusePerMille   = 100
	lostPerMille     = 100
	notSentPerMille  = 50
	freezePerMille   = 100 // of the claims, between the record and the send
)

// exchange is one submission at one gateway.
type exchange struct {
	run      *AttemptRun
	node     *Node
	op       requestOp
	call     clock.Instant // in true time
	started  clock.Instant // by the clock of the node
	claim    *attempt.Claim
	settler  *attempt.Resolver
	answered bool
}

func newExchange(r *AttemptRun, n *Node, key string, submission int, call clock.Instant) *exchange {
	return &exchange{
		run:     r,
		node:    n,
		op:      requestOp{key: key, submission: submission},
		call:    call,
		started: n.Now(),
	}
}

func (x *exchange) holder() attempt.Holder {
	return attempt.Holder{Instance: x.node.Name, Incarnation: x.node.Incarnation}
}

// now reads the clock for a check of the deadline.
func (x *exchange) now() clock.Instant {
	if x.run.switches.NoDeadline {
		return x.started
	}
	return x.node.Now()
}

func (x *exchange) begin() {
	x.claim = attempt.NewClaim(attemptWindow, x.holder(), x.run.nextNonce(), attempt.Request{
		ID: attempt.ID{Customer: "noranbus", Key: x.op.key},
	})
	x.step(x.claim.Begin(x.started))
}

// succeed goes on as the successor of another gateway.
func (x *exchange) succeed(handoff attempt.Handoff) {
	x.claim = attempt.NewClaimFrom(attemptWindow, x.holder(), x.run.nextNonce(), handoff)
	x.step(x.claim.Begin(x.started))
}

func (x *exchange) step(step attempt.Step) {
	switch s := step.(type) {
	case attempt.Write:
		x.run.table.Write(x.node, s.Transaction, func(err error) { x.written(err) })
	case attempt.Read:
		x.run.table.Read(x.node, s.Key, func(found row.Row, err error) {
			x.step(x.claim.ReadResult(found, err, x.now()))
		})
	case attempt.Send:
		x.op.attempt = s.Attempt
		if x.run.world.Chance(freezePerMille) {
			x.node.Pause(x.run.world.Between(0, 3*attemptWindow.Length))
		}
		x.node.After(x.run.world.Between(0, mostQueueing), x.send)
	case attempt.Attach:
		x.op.attempt = s.Attempt
		x.node.After(x.run.world.Between(0, mostServing), x.served)
	case attempt.Duplicate:
		x.duplicate(s)
	case attempt.Refuse:
		x.refuse(s)
	case attempt.HandoffFailed:
		x.answer(requestResult{kind: open})
	case attempt.Done:
	}
}

func (x *exchange) written(err error) {
	if _, isUnknown := err.(*row.UnknownError); isUnknown && x.run.switches.NoReadBack {
		err = nil
	}
	x.step(x.claim.Written(err, x.now()))
}

// send lets the request leave, or hands it over just before.
func (x *exchange) send() {
	if x.run.world.Chance(handOverPerMille) {
		x.handOver()
		return
	}
	if err := x.claim.MaySend(x.now()); err != nil {
		x.refuse(attempt.Refuse{Err: err, KeyChecked: true})
		return
	}
	_ = x.claim.MarkSent()
	switch {
	case x.run.world.Chance(notSentPerMille):
		_ = x.claim.MarkNotSent()
		x.node.After(x.run.world.Between(0, mostQueueing), x.send)
	case x.run.world.Chance(refusePerMille):
		x.node.After(x.run.world.Between(0, mostQueueing), x.refusedByUpstream)
	default:
		x.run.run(x.op)
		x.node.After(x.run.world.Between(0, mostServing), x.served)
	}
}

// served ends the exchange with the upstream.
func (x *exchange) served() {
	switch {
	case x.run.world.Chance(handOverPerMille):
		x.handOver()
	case x.run.world.Chance(lostPerMille):
		step, _ := x.claim.MarkUnknown()
		x.step(step)
		x.answer(requestResult{kind: x.lostKind()})
	default:
		step, _ := x.claim.Complete(attempt.Answer{Digest: 1})
		x.step(step)
		x.answer(requestResult{kind: completed})
	}
}

func (x *exchange) lostKind() resultKind {
	if x.run.switches.UnknownIsNotRun {
		return refused
	}
	return open
}

func (x *exchange) refusedByUpstream() {
	step, _ := x.claim.MarkRefusedByUpstream()
	x.step(step)
	x.answer(requestResult{kind: refused, keyChecked: true})
}

// handOver releases the claim to another gateway, on a link that may fail.
func (x *exchange) handOver() {
	handoff, err := x.claim.Release()
	if err != nil {
		return
	}
	if x.run.switches.FormerSends && !handoff.Sent {
		x.node.After(mostQueueing, func() { x.run.run(x.op) })
	}
	for range 1 + x.run.world.Random.IntN(2) {
		to := x.run.nodes[x.run.world.Random.IntN(len(x.run.nodes))]
		x.run.world.After(x.run.world.Between(0, mostQueueing), to.Wrap(func() {
			newExchange(x.run, to, x.op.key, x.op.submission, x.call).succeed(handoff)
		}))
	}
}

func (x *exchange) refuse(s attempt.Refuse) {
	x.answer(requestResult{kind: refused, keyChecked: s.KeyChecked})
	if x.run.switches.RefusalDeletes {
		x.run.table.Delete(attempt.ID{Customer: "noranbus", Key: x.op.key}.RowKey())
		return
	}
	if step, err := x.claim.Abandon(); err == nil {
		x.step(step)
	}
}

// duplicate answers from the record of another claim.
func (x *exchange) duplicate(found attempt.Duplicate) {
	isDown := x.run.isDown(found.Record.Holder)
	switch found.Record.State {
	case attempt.Completed:
		x.answer(requestResult{kind: completed})
	case attempt.Unknown:
		x.answer(requestResult{kind: settled, attempt: found.Record.Attempt})
	case attempt.NotRun:
		x.answer(requestResult{kind: refused})
	default:
		switch {
		case isDown && x.run.switches.TakeOver:
			x.started = x.node.Now()
			x.succeed(attempt.Handoff{Record: found.Record, Version: found.Version})
		case isDown || x.run.world.Chance(300):
			x.settle(found)
		default:
			x.answer(requestResult{kind: open})
		}
	}
}

func (x *exchange) settle(found attempt.Duplicate) {
	window := attemptWindow
	if x.run.switches.NoSettleWait {
		window.Length = 0
	}
	x.settler = attempt.NewResolver(window, found, x.node.Now())
	x.settleStep(x.settler.Next(x.node.Now()))
}

func (x *exchange) settleStep(step attempt.Step) {
	switch s := step.(type) {
	case attempt.Wait:
		x.node.After(s.Until.Sub(x.node.Now()), func() { x.settleStep(x.settler.Next(x.node.Now())) })
	case attempt.Read:
		x.run.table.Read(x.node, s.Key, func(found row.Row, err error) {
			x.settleStep(x.settler.ReadResult(found, err, x.node.Now()))
		})
	case attempt.Write:
		x.run.table.Write(x.node, s.Transaction, func(err error) {
			x.settleStep(x.settler.Written(err, x.node.Now()))
		})
	case attempt.Duplicate:
		x.settledAs(s.Record)
	case attempt.Done:
		x.answer(requestResult{kind: open})
	}
}

func (x *exchange) settledAs(record attempt.Record) {
	switch record.State {
	case attempt.Completed:
		x.answer(requestResult{kind: completed})
	case attempt.Unknown:
		x.answer(requestResult{kind: settled, attempt: record.Attempt})
	default:
		x.answer(requestResult{kind: open})
	}
}

// answer answers the caller once.
func (x *exchange) answer(result requestResult) {
	if x.answered {
		return
	}
	x.answered = true
	x.run.answer(x.op, x.call, result)
}
