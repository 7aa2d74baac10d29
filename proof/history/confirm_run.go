package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const (
	operators      = 3
	followers      = 5
	plans          = 12
	confirmRunTime = 60 * time.Second
	mostGossipGap  = 1000 * time.Millisecond
	peersAsked     = 2
	testChain      = confirm.Chain("federation")
)

// ConfirmRun is a run of operators that confirm racing plans, and of processes
// that follow the chain by the table and by each other.
type ConfirmRun struct {
	world    *World
	table    *Table
	switches ConfirmSwitches
	nodes    []*Node
	follows  map[*Node]*confirm.Follower
	history  []porcupine.Operation
	open     map[int]porcupine.Operation // of unknown outcome, by number
	calls    int
	proposed []confirm.Configuration
	held     []confirm.Configuration // by followers, at any time
	reverts  int
	// Conflicts counts the plans that lost a race.
	Conflicts int
	// Confirmed counts the confirmations that succeeded.
	Confirmed int
}

// NewConfirmRun makes the run of a seed.
func NewConfirmRun(seed uint64, switches ConfirmSwitches) *ConfirmRun {
	w := NewWorld(seed)
	r := &ConfirmRun{
		world:    w,
		table:    NewTable(w, DefaultFaults()),
		switches: switches,
		follows:  make(map[*Node]*confirm.Follower),
		open:     make(map[int]porcupine.Operation),
	}
	trouble := Trouble{Every: 10 * time.Second, Longest: 8 * time.Second, SkewPPM: skewPPM}
	var controllers []*Node
	for i := range operators {
		controllers = append(controllers, NewNode(w, fmt.Sprint("controller-", i), trouble, func(*Node) {}))
	}
	for i := range followers {
		r.nodes = append(r.nodes, NewNode(w, fmt.Sprint("gateway-", i), trouble, r.startFollower))
	}
	for i := range plans {
		n := controllers[w.Random.IntN(operators)]
		w.After(w.Between(0, confirmRunTime/2), func() { r.plan(n, fmt.Sprint("plan-", i)) })
	}
	return r
}

// Run plays the run and returns what was violated.
func (r *ConfirmRun) Run(seed uint64) []Violation {
	r.world.Run(confirmRunTime)
	unexplained := r.closeHistory()
	var violations []Violation
	note := func(isBroken bool, promise string) {
		if isBroken {
			violations = append(violations, Violation{Seed: seed, Promise: promise})
		}
	}
	note(!porcupine.CheckOperations(chainModel(), r.history), "confirmations are one chain")
	note(unexplained > 0, "a confirmation that was said to have no effect has none")
	note(r.reverts > 0, "a follower never reverts")
	note(r.hasUnconfirmed(), "a follower holds only what was confirmed")
	return violations
}

// plan makes a plan against the head and confirms it later.
func (r *ConfirmRun) plan(n *Node, id string) {
	r.table.Read(n, testChain.HeadKey(), func(found row.Row, err error) {
		head, decodeErr := confirm.DecodeHead(found)
		if err != nil || decodeErr != nil {
			return
		}
		p := confirm.Proposal{Chain: testChain, PlanID: id, Base: head.Version, Value: []byte(id)}
		r.proposed = append(r.proposed, configurationOf(p))
		n.After(r.world.Between(0, 5*time.Second), func() { r.confirm(n, p, 3) })
	})
}

// configurationOf returns the configuration that a proposal would become.
func configurationOf(p confirm.Proposal) confirm.Configuration {
	c := confirm.NewConfirmation(p)
	c.Begin()
	confirmed, _ := c.Written(nil).(confirm.Confirmed)
	return confirmed.Configuration
}

// confirm confirms a proposal, and again while the outcome is not known.
func (r *ConfirmRun) confirm(n *Node, p confirm.Proposal, tries int) {
	op := chainOp{plan: p.PlanID, base: int(p.Base)}
	if r.switches.BlindHead {
		p.Base = r.table.Row(testChain.HeadKey()).Version
	}
	call := r.world.Now()
	// It stays open if the process crashes before it has an outcome.
	r.calls++
	number := r.calls
	r.open[number] = porcupine.Operation{Input: op, Call: int64(call)}
	c := confirm.NewConfirmation(p)
	r.step(n, c, c.Begin(), func(step confirm.Step) {
		rejected, _ := step.(confirm.Rejected)
		if _, isUnknown := rejected.Err.(*confirm.UnknownError); isUnknown {
			if tries > 0 {
				n.After(r.world.Between(0, 3*time.Second), func() { r.confirm(n, p, tries-1) })
			}
			return
		}
		delete(r.open, number)
		r.record(op, call, step)
	})
}

func (r *ConfirmRun) step(n *Node, c *confirm.Confirmation, step confirm.Step, done func(confirm.Step)) {
	switch s := step.(type) {
	case confirm.Write:
		r.table.Write(n, s.Transaction, func(err error) {
			if _, isUnknown := err.(*row.UnknownError); isUnknown && r.switches.UnknownIsFailure {
				err = &row.UnavailableError{Err: &FaultError{}}
			}
			r.step(n, c, c.Written(err), done)
		})
	case confirm.Read:
		r.table.Read(n, s.Key, func(found row.Row, err error) { r.step(n, c, c.ReadResult(found, err), done) })
	default:
		done(step)
	}
}

// record notes a known outcome.
func (r *ConfirmRun) record(op chainOp, call clock.Instant, step confirm.Step) {
	result := chainResult{kind: noEffect}
	switch s := step.(type) {
	case confirm.Confirmed:
		result.kind = tookEffect
		r.Confirmed++
	case confirm.Rejected:
		if conflict, ok := s.Err.(*confirm.ConflictError); ok {
			result = chainResult{kind: conflicted, head: int(conflict.Head.Version)}
			r.Conflicts++
		}
	}
	r.history = append(r.history, porcupine.Operation{
		Input: op, Call: int64(call), Output: result, Return: int64(r.world.Now()),
	})
}

// closeHistory adds the confirmations that may have made their plan take effect
// although their outcome never became known. It returns the number of plans in
// the chain whose confirmations were all said to have no effect.
func (r *ConfirmRun) closeHistory() int {
	known := make(map[string]bool)
	for _, op := range r.history {
		if op.Output.(chainResult).kind == tookEffect {
			known[op.Input.(chainOp).plan] = true
		}
	}
	unexplained := 0
	for version := uint64(1); ; version++ {
		found := r.table.Row(testChain.VersionKey(version))
		if found.Version == 0 {
			return unexplained
		}
		c, err := confirm.DecodeConfiguration(found)
		if err != nil {
			continue
		}
		op, ok := r.openOf(c.PlanID)
		if ok {
			op.Output = chainResult{kind: tookEffect}
			op.Return = math.MaxInt64
			r.history = append(r.history, op)
		} else if !known[c.PlanID] {
			unexplained++
		}
	}
}

// openOf returns the first confirmation of unknown outcome of a plan.
func (r *ConfirmRun) openOf(plan string) (porcupine.Operation, bool) {
	var first porcupine.Operation
	found := false
	for _, op := range r.open {
		if op.Input.(chainOp).plan == plan && (!found || op.Call < first.Call) {
			first, found = op, true
		}
	}
	return first, found
}

// hasUnconfirmed reports whether a follower held what is not in the chain.
func (r *ConfirmRun) hasUnconfirmed() bool {
	for _, c := range r.held {
		stored, err := confirm.DecodeConfiguration(r.table.Row(testChain.VersionKey(c.Version)))
		if err != nil || stored.Digest != c.Digest {
			return true
		}
	}
	return false
}
