package bench

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// engine is an upstream that batches continuously: each step computes some
// prompt tokens and generates one token for each request in the batch.
type engine struct {
	sim      *simulation
	replica  route.Replica
	machine  Machine
	waiting  []*attempt
	prefill  []*attempt
	decode   []*attempt
	cache    *blockCache
	stepping bool
	dead     bool
	hung     bool
	failing  bool
	slow     float64
	sequence uint64
	// generated counts the tokens generated since the last load report.
	generated int
}

func (e *engine) inProgress() int {
	return len(e.waiting) + len(e.prefill) + len(e.decode)
}

// submit takes an attempt that has just arrived.
func (e *engine) submit(a *attempt) {
	if a.canceled {
		return
	}
	if e.dead || e.failing {
		e.sim.reply(func() { a.gateway.failed(a, route.Broken) })
		return
	}
	e.waiting = insertByPriority(e.waiting, a)
	e.step()
}

// insertByPriority puts an attempt behind those of its own priority.
func insertByPriority(attempts []*attempt, a *attempt) []*attempt {
	at := len(attempts)
	for at > 0 && attempts[at-1].job.class.Priority < a.job.class.Priority {
		at--
	}
	return slices.Insert(attempts, at, a)
}

// cancel drops an attempt, wherever it is.
func (e *engine) cancel(a *attempt) {
	is := func(b *attempt) bool { return a == b }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.prefill = slices.DeleteFunc(e.prefill, is)
	e.decode = slices.DeleteFunc(e.decode, is)
}

// die ends the engine with all that is in progress.
func (e *engine) die() {
	e.dead = true
	for _, a := range slices.Concat(e.waiting, e.prefill, e.decode) {
		e.sim.reply(func() { a.gateway.failed(a, route.Broken) })
		e.sim.result.addRecomputed(a.job, a.generated)
	}
	e.waiting, e.prefill, e.decode = nil, nil, nil
}

// step starts the next step if there is work.
func (e *engine) step() {
	if e.stepping || e.dead {
		return
	}
	e.fillBatch()
	if len(e.prefill)+len(e.decode) == 0 {
		return
	}
	e.stepping = true
	tokens, finished := e.computePrompts()
	decoding := len(e.decode)
	m := &e.machine
	took := m.StepBase + time.Duration(decoding)*m.StepPerRequest + time.Duration(tokens)*m.StepPerToken
	took = time.Duration(float64(took) * e.slow)
	e.sim.busy += time.Duration(float64(took) * float64(m.MicrosPerHour))
	e.sim.after(took, func() { e.endStep(decoding, finished) })
}

func (e *engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.prefill)+len(e.decode) < e.machine.Slots {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.match(a.job.blocks)
		a.toCompute = max(a.job.promptTokens-cached*prefix.BlockTokens, 1)
		e.sim.countRecomputed(a, cached)
		e.prefill = insertByPriority(e.prefill, a)
	}
}

// computePrompts spends the step's room for prompt tokens, in order. It
// returns the tokens computed and the attempts whose prompt is complete.
func (e *engine) computePrompts() (tokens int, finished []*attempt) {
	for _, a := range e.prefill {
		part := min(a.toCompute, e.machine.StepTokens-tokens)
		a.toCompute -= part
		tokens += part
		if a.toCompute > 0 {
			break
		}
		finished = append(finished, a)
	}
	e.prefill = e.prefill[len(finished):]
	return tokens, finished
}

func (e *engine) endStep(decoding int, finished []*attempt) {
	if e.hung {
		return
	}
	e.stepping = false
	if e.dead {
		for _, a := range finished {
			e.sim.reply(func() { a.gateway.failed(a, route.Broken) })
		}
		return
	}
	for _, a := range finished {
		e.publish(e.cache.store(a.job.blocks))
		if !a.canceled {
			e.decode = append(e.decode, a)
			e.sim.reply(func() { a.gateway.firstToken(a) })
		}
	}
	e.generate()
	e.step()
}

// generate adds a token to each answer and ends the complete ones.
func (e *engine) generate() {
	kept := e.decode[:0]
	for _, a := range e.decode {
		a.generated++
		e.generated++
		if a.generated < a.job.answerTokens {
			kept = append(kept, a)
			continue
		}
		e.sim.reply(func() { a.gateway.finished(a) })
	}
	clear(e.decode[len(kept):])
	e.decode = kept
}

// publish sends what changed in the cache to the gateways, late and gappy.
func (e *engine) publish(stored, removed []uint64) {
	if len(stored) > 0 {
		e.sim.publish(e, route.CacheStored, stored)
	}
	if len(removed) > 0 {
		e.sim.publish(e, route.CacheRemoved, removed)
	}
}

func (e *engine) load(period time.Duration) route.Load {
	used := 0
	for _, a := range e.decode {
		used += a.job.promptTokens + a.generated
	}
	l := route.Load{
		Running: len(e.prefill) + len(e.decode),
		Queued:  len(e.waiting),
		KVUsed:  int64(used),
		KVTotal: int64(e.machine.CacheBlocks * prefix.BlockTokens * 2),
	}
	l.TokensPerSecond = float64(e.generated) / period.Seconds()
	e.generated = 0
	return l
}
