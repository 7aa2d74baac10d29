package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	gateways       = 4
	keys           = 6
	submissions    = 8 // of each key
	attemptRunTime = 40 * time.Second
)

var attemptWindow = attempt.Window{Length: 2 * time.Second, Margin: 100 * time.Millisecond}

// AttemptRun is a run of gateways that get each request several times.
type AttemptRun struct {
	world    *World
	table    *Table
	switches AttemptSwitches
	nodes    []*Node
	nonce    uint64
	history  []porcupine.Operation
	// Runs counts the runs that the upstream saw begin.
	Runs int
	// Results counts the answers to submissions by kind.
	Results map[string]int
}

// NewAttemptRun makes the run of a seed.
func NewAttemptRun(seed uint64, switches AttemptSwitches) *AttemptRun {
	w := NewWorld(seed)
	r := &AttemptRun{
		world:    w,
		table:    NewTable(w, DefaultFaults()),
		switches: switches,
		Results:  make(map[string]int),
	}
	trouble := Trouble{Every: 4 * time.Second, Longest: 8 * time.Second, SkewPPM: 10_000}
	for i := range gateways {
		r.nodes = append(r.nodes, NewNode(w, fmt.Sprint("gateway-", i), trouble, func(*Node) {}))
	}
	for key := range keys {
		for s := range submissions {
			w.After(w.Between(0, attemptRunTime/3), func() { r.submit(fmt.Sprint("key-", key), s) })
		}
	}
	return r
}

// Run plays the run and returns what was violated.
func (r *AttemptRun) Run(seed uint64) []Violation {
	r.world.Run(attemptRunTime)
	model := requestModel()
	var violations []Violation
	for _, part := range partitionByKey(r.history) {
		if !porcupine.CheckOperations(model, part) {
			key := part[0].Input.(requestOp).key
			violations = append(violations, Violation{
				Seed: seed, Promise: "a request runs at most once and refusals hold", Detail: key,
			})
		}
	}
	return violations
}

func (r *AttemptRun) submit(key string, submission int) {
	n := r.nodes[r.world.Random.IntN(len(r.nodes))]
	call := r.world.Now()
	n.Wrap(func() { newExchange(r, n, key, submission, call).begin() })()
}

// run notes that the first byte of a request has left.
func (r *AttemptRun) run(op requestOp) {
	r.Runs++
	op.isRun = true
	now := int64(r.world.Now())
	r.history = append(r.history, porcupine.Operation{
		Input: op, Call: now, Output: requestResult{kind: ran}, Return: now,
	})
}

// answer notes the answer to a submission.
func (r *AttemptRun) answer(op requestOp, call clock.Instant, result requestResult) {
	r.Results[[]string{"ran", "completed", "refused", "settled", "open"}[result.kind]]++
	r.history = append(r.history, porcupine.Operation{
		Input: op, Call: int64(call), Output: result, Return: int64(r.world.Now()),
	})
}

func (r *AttemptRun) nextNonce() uint64 {
	r.nonce++
	return r.nonce
}

// isDown reports whether the holder of a record is dead or paused.
func (r *AttemptRun) isDown(holder attempt.Holder) bool {
	for _, n := range r.nodes {
		if n.Name == holder.Instance {
			return n.IsDown() || n.Incarnation != holder.Incarnation
		}
	}
	return true
}
