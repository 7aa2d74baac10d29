package quota

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Slice is the state machine of one holder of one limit. It is owned by one
// thread. At most one call to the table service is outstanding, and its result
// must be handed in, be it a timeout as a *row.UnknownError.
type Slice struct {
	config lease.Config
	limit  Limit
	holder lease.Holder
	demand Demand
	floor  uint64

	version uint64 // of the row as last read or written
	ledger  Ledger // as last read or written
	watches map[lease.Holder]*lease.Watch

	sequence uint64        // of the own grant as last known; 0 without one
	amount   uint64        // that may be spent until the end of the grant
	until    clock.Instant // end of the own grant
	oldest   clock.Instant // start of the oldest own write that may have made, or may yet make, the next version
	started  clock.Instant // start of the outstanding write
	written  Ledger        // by the outstanding write

	nextAt    clock.Instant
	busy      bool // a call is outstanding
	releasing bool
}

// New makes the state machine of a holder that wants nothing yet.
func New(limit Limit, config lease.Config, holder lease.Holder) *Slice {
	return &Slice{
		config:  config,
		limit:   limit,
		holder:  holder,
		watches: make(map[lease.Holder]*lease.Watch),
	}
}

// Ask sets what the holder asks for. The floor is what it has committed and
// can't give back now: its grant is not lowered below it while it is renewed.
// It is to be called whenever one of them changes; the change takes effect at
// the next renewal.
func (s *Slice) Ask(demand Demand, floor uint64) {
	s.demand = demand
	s.floor = floor
}

// Configure takes the limit of a confirmed configuration and makes a renewal
// due at once. An older one than known changes nothing.
func (s *Slice) Configure(limit Limit) {
	if limit.Configuration > s.limit.Configuration {
		s.limit = limit
		s.nextAt = 0
	}
}

// Amount returns what the holder may spend at this instant. It is to be asked
// right before each spending, with a fresh reading of the clock.
func (s *Slice) Amount(now clock.Instant) uint64 {
	if s.releasing || !now.Before(s.until) {
		return 0
	}
	return s.amount
}

// Spend reports whether the amount may be spent beside what is already spent.
// It fails with a *ShortError.
func (s *Slice) Spend(amount, spent uint64, now clock.Instant) error {
	held := s.Amount(now)
	if spent <= held && amount <= held-spent {
		return nil
	}
	return &ShortError{Limit: s.limit.Name, Asked: amount, Spent: spent, Held: held}
}

// Ledger returns the ledger as last known, for reports.
func (s *Slice) Ledger() Ledger {
	return s.ledger
}

// Next returns the step that is due. It is to be called at the start and at the
// end of each Wait.
func (s *Slice) Next(now clock.Instant) lease.Step {
	switch {
	case s.busy:
		return lease.Wait{Until: now.Add(s.config.RetryEvery)}
	case now.Before(s.nextAt):
		return lease.Wait{Until: s.nextAt}
	default:
		return s.read()
	}
}

// Release gives the slice back. Nothing may be spent from this call on. The
// steps go on until Ended.
func (s *Slice) Release(now clock.Instant) lease.Step {
	s.releasing = true
	s.nextAt = now
	return s.Next(now)
}

// Written takes the result of the write that the last step asked for.
func (s *Slice) Written(err error, now clock.Instant) lease.Step {
	s.busy = false
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return s.applied(now)
	case errors.As(err, &conflict):
		// The row may be the same write, delivered twice.
		s.mayHaveWritten()
		return s.read()
	case errors.As(err, &unknown):
		return s.unknown(err, now)
	default:
		return s.failed(err, now)
	}
}

// ReadResult takes the result of the read that the last step asked for.
func (s *Slice) ReadResult(found row.Row, err error, now clock.Instant) lease.Step {
	s.busy = false
	if err != nil {
		return s.failed(err, now)
	}
	ledger, err := DecodeLedger(found)
	if err != nil {
		return s.failed(err, now)
	}
	s.observe(found.Version, ledger, now)
	if s.releasing {
		return s.release(now)
	}
	if s.sequence != 0 && now.Before(s.nextAt) {
		return lease.Wait{Until: s.nextAt}
	}
	return s.renew(now)
}

// observe takes note of the ledger as it was read.
func (s *Slice) observe(version uint64, ledger Ledger, now clock.Instant) {
	own, ok := ledger.Grant(s.holder)
	switch {
	case !ok:
		s.sequence = 0
		s.amount = 0
	case own.Sequence == s.sequence:
	case s.oldest != 0:
		// One of the writes of unknown outcome has landed.
		s.own(own, s.oldest)
	default:
		// A former bearer of the same name wrote it. It is taken over by the
		// renewal that follows and not spent from before.
		s.sequence = own.Sequence
		s.amount = 0
	}
	if version != s.version {
		s.oldest = 0
	}
	s.version = version
	s.ledger = ledger
	s.watch(now)
}

// watch judges the grants of the others.
func (s *Slice) watch(now clock.Instant) {
	watches := make(map[lease.Holder]*lease.Watch, len(s.ledger.Grants))
	for _, g := range s.ledger.Grants {
		w, ok := s.watches[g.Holder]
		if !ok {
			w = &lease.Watch{}
		}
		w.Observe(g.Sequence, now)
		watches[g.Holder] = w
	}
	s.watches = watches
}

// renew asks for the write of a grant by the present demand.
func (s *Slice) renew(now clock.Instant) lease.Step {
	next := s.others(now)
	if s.limit.Configuration > next.Configuration {
		next.Total = s.limit.Total
		next.Configuration = s.limit.Configuration
	}
	own := Grant{Holder: s.holder, Demand: s.demand, Sequence: next.Sequence + 1}
	own.Amount = s.target(next)
	next.Sequence = own.Sequence
	next.Grants = append(next.Grants, own)
	// What the lower grant gives back may be granted to others as soon as the
	// write takes effect.
	s.amount = min(s.amount, own.Amount)
	return s.put(next, now)
}

// target returns the amount to hold beside the grants of the others.
func (s *Slice) target(others Ledger) uint64 {
	held := uint64(0)
	if own, ok := s.ledger.Grant(s.holder); ok {
		held = own.Amount
	}
	share := others.fairShare(s.demand)
	if share > held {
		return max(held, min(share, others.free()))
	}
	return max(share, min(s.floor, held))
}

// others returns the ledger without the own grant and the expired ones.
func (s *Slice) others(now clock.Instant) Ledger {
	return s.ledger.without(func(h lease.Holder) bool {
		return h == s.holder || s.watches[h].HasExpired(s.config.TTL, now)
	})
}

// release asks for the write of a ledger without the own grant.
func (s *Slice) release(now clock.Instant) lease.Step {
	if s.sequence == 0 && s.oldest == 0 {
		return lease.Ended{}
	}
	next := s.ledger.without(func(h lease.Holder) bool { return h == s.holder })
	next.Sequence++
	return s.put(next, now)
}

// applied goes on after a write that surely took effect.
func (s *Slice) applied(now clock.Instant) lease.Step {
	s.version++
	s.ledger = s.written
	s.oldest = 0
	s.watch(now)
	own, ok := s.ledger.Grant(s.holder)
	if !ok {
		s.sequence = 0
		s.amount = 0
		return lease.Ended{}
	}
	s.own(own, s.started)
	if s.releasing {
		return s.release(now)
	}
	return lease.Wait{Until: s.nextAt}
}

// own takes note of the own grant, written at the given start.
func (s *Slice) own(grant Grant, start clock.Instant) {
	s.sequence = grant.Sequence
	s.amount = grant.Amount
	s.until = max(s.until, start.Add(s.config.TTL-s.config.Margin))
	s.nextAt = start.Add(s.config.RenewEvery)
}

// unknown reads back at once the first time, and slows down after that.
func (s *Slice) unknown(err error, now clock.Instant) lease.Step {
	if s.oldest != 0 {
		return s.failed(err, now)
	}
	s.mayHaveWritten()
	return s.read()
}

// mayHaveWritten notes that the last write may make the next version.
func (s *Slice) mayHaveWritten() {
	if s.oldest == 0 {
		s.oldest = s.started
	}
}

func (s *Slice) failed(err error, now clock.Instant) lease.Step {
	if s.releasing {
		return lease.Ended{Err: err}
	}
	s.nextAt = now.Add(s.config.RetryEvery)
	return lease.Wait{Until: s.nextAt}
}

func (s *Slice) put(next Ledger, now clock.Instant) lease.Step {
	s.busy = true
	s.started = now
	s.written = next
	return lease.Write{Transaction: row.Transaction{Changes: []row.Change{{
		Key:    Key(s.limit.Name),
		Expect: s.version,
		Value:  codec.Encode(next),
	}}}}
}

func (s *Slice) read() lease.Step {
	s.busy = true
	return lease.Read{Key: Key(s.limit.Name)}
}
