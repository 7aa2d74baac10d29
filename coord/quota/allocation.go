package quota

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Allocation is the state machine by which one holder keeps its grant of one
// limit. It must be used by one thread only. At most one read or write of the
// table service is outstanding. Its result must always be passed in: a timeout of
// a write as a *row.UnknownError.
type Allocation struct {
	config    lease.Config
	limit     Limit
	holder    lease.Holder
	demand    Demand
	committed uint64 // can't be given back, see SetDemand

	version uint64 // of the row as last read or written
	ledger  Ledger // as last read or written
	watches map[lease.Holder]*lease.Watch

	sequence      uint64        // of the holder's grant as last known; 0 without one
	amount        uint64        // may be spent until expiresAt
	expiresAt     clock.Instant // when the holder's grant expires
	oldestStart   clock.Instant // see mayHaveWritten; 0 without such a write
	writeStart    clock.Instant // start of the outstanding write
	pendingLedger Ledger        // as the outstanding write writes it

	dueAt           clock.Instant
	callOutstanding bool // a read or write was requested and has no result yet
	releasing       bool
}

// New returns the Allocation of a holder that does not demand anything yet.
func New(limit Limit, config lease.Config, holder lease.Holder) *Allocation {
	return &Allocation{
		config:  config,
		limit:   limit,
		holder:  holder,
		watches: make(map[lease.Holder]*lease.Watch),
	}
}

// SetDemand sets the demand of the holder, and the amount that it has committed
// and can't give back now. Renewals do not lower the grant below that amount. A
// change takes effect at the next renewal.
func (a *Allocation) SetDemand(demand Demand, committed uint64) {
	a.demand = demand
	a.committed = committed
}

// Configure handles the limit of a confirmed configuration and makes a renewal due
// at once. It ignores a limit that is not newer than the known one.
func (a *Allocation) Configure(limit Limit) {
	if limit.ConfigurationVersion > a.limit.ConfigurationVersion {
		a.limit = limit
		a.dueAt = 0
	}
}

// Amount returns what the holder may spend in total. It must be called immediately
// before each spending, with a fresh reading of the clock.
func (a *Allocation) Amount(now clock.Instant) uint64 {
	if a.releasing || !now.Before(a.expiresAt) {
		return 0
	}
	return a.amount
}

// MaySpend returns nil if the amount may be spent now in addition to what is
// already spent, and otherwise an *ExceededError.
func (a *Allocation) MaySpend(amount, spent uint64, now clock.Instant) error {
	held := a.Amount(now)
	if spent <= held && amount <= held-spent {
		return nil
	}
	return &ExceededError{Limit: a.limit.Name, Asked: amount, Spent: spent, Held: held}
}

// Ledger returns the ledger as last read or written. It is for reporting only.
func (a *Allocation) Ledger() Ledger {
	return a.ledger
}

// Next returns the step that is due. It must be called at the start and at the end
// of each Wait.
func (a *Allocation) Next(now clock.Instant) lease.Step {
	switch {
	case a.callOutstanding:
		return lease.Wait{Until: now.Add(a.config.RetryEvery)}
	case now.Before(a.dueAt):
		return lease.Wait{Until: a.dueAt}
	default:
		return a.read()
	}
}

// Release gives up the allocation. Nothing may be spent after this call. The
// returned steps must be carried out until Ended.
func (a *Allocation) Release(now clock.Instant) lease.Step {
	a.releasing = true
	a.dueAt = now
	return a.Next(now)
}

// Written handles the result of the write that the last step requested.
func (a *Allocation) Written(err error, now clock.Instant) lease.Step {
	a.callOutstanding = false
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return a.writeApplied(now)
	case errors.As(err, &conflict):
		// The row may be the result of this same write, delivered twice.
		a.mayHaveWritten()
		return a.read()
	case errors.As(err, &unknown):
		return a.writeUnknown(err, now)
	default:
		return a.retryLater(err, now)
	}
}

// ReadResult handles the result of the read that the last step requested.
func (a *Allocation) ReadResult(found row.Row, err error, now clock.Instant) lease.Step {
	a.callOutstanding = false
	if err != nil {
		return a.retryLater(err, now)
	}
	ledger, err := DecodeLedger(found)
	if err != nil {
		return a.retryLater(err, now)
	}
	a.observe(found.Version, ledger, now)
	if a.releasing {
		return a.writeRelease(now)
	}
	if a.sequence != 0 && now.Before(a.dueAt) {
		return lease.Wait{Until: a.dueAt}
	}
	return a.renew(now)
}

// observe handles the ledger as it was read.
func (a *Allocation) observe(version uint64, ledger Ledger, now clock.Instant) {
	own, ok := ledger.Grant(a.holder)
	switch {
	case !ok:
		a.sequence = 0
		a.amount = 0
	case own.Sequence == a.sequence:
	case a.oldestStart != 0:
		// One of the writes of unknown outcome has taken effect.
		a.setGrant(own, a.oldestStart)
	default:
		// A previous holder of the same name wrote the grant. The next renewal
		// takes it over; nothing may be spent from it before that.
		a.sequence = own.Sequence
		a.amount = 0
	}
	if version != a.version {
		a.oldestStart = 0
	}
	a.version = version
	a.ledger = ledger
	a.observeGrants(now)
}

// observeGrants records which grants were renewed, to detect expired ones.
func (a *Allocation) observeGrants(now clock.Instant) {
	watches := make(map[lease.Holder]*lease.Watch, len(a.ledger.Grants))
	for _, g := range a.ledger.Grants {
		w, ok := a.watches[g.Holder]
		if !ok {
			w = &lease.Watch{}
		}
		w.Observe(g.Sequence, now)
		watches[g.Holder] = w
	}
	a.watches = watches
}

// renew requests the write of a grant according to the current demand.
func (a *Allocation) renew(now clock.Instant) lease.Step {
	next := a.withoutOwnAndExpired(now)
	if a.limit.ConfigurationVersion > next.ConfigurationVersion {
		next.Total = a.limit.Total
		next.ConfigurationVersion = a.limit.ConfigurationVersion
	}
	own := Grant{Holder: a.holder, Demand: a.demand, Sequence: next.Sequence + 1}
	own.Amount = a.targetAmount(next)
	next.Sequence = own.Sequence
	next.Grants = append(next.Grants, own)
	// If the grant gets lower, the difference may be granted to others as soon
	// as the write takes effect. So it must not be spent from now on.
	a.amount = min(a.amount, own.Amount)
	return a.write(next, now)
}

// targetAmount returns the amount of the holder's next grant, given the grants of
// the others.
func (a *Allocation) targetAmount(others Ledger) uint64 {
	held := uint64(0)
	if own, ok := a.ledger.Grant(a.holder); ok {
		held = own.Amount
	}
	share := others.fairShare(a.demand)
	if share > held {
		return max(held, min(share, others.free()))
	}
	return max(share, min(a.committed, held))
}

// withoutOwnAndExpired returns the ledger without the holder's own grant and
// without expired ones.
func (a *Allocation) withoutOwnAndExpired(now clock.Instant) Ledger {
	return a.ledger.without(func(h lease.Holder) bool {
		return h == a.holder || a.watches[h].HasExpired(a.config.TTL, now)
	})
}

// writeRelease requests the write of the ledger without the holder's own grant.
func (a *Allocation) writeRelease(now clock.Instant) lease.Step {
	if a.sequence == 0 && a.oldestStart == 0 {
		return lease.Ended{}
	}
	next := a.ledger.without(func(h lease.Holder) bool { return h == a.holder })
	next.Sequence++
	return a.write(next, now)
}

// writeApplied handles a write that is known to have taken effect.
func (a *Allocation) writeApplied(now clock.Instant) lease.Step {
	a.version++
	a.ledger = a.pendingLedger
	a.oldestStart = 0
	a.observeGrants(now)
	own, ok := a.ledger.Grant(a.holder)
	if !ok {
		a.sequence = 0
		a.amount = 0
		return lease.Ended{}
	}
	a.setGrant(own, a.writeStart)
	if a.releasing {
		return a.writeRelease(now)
	}
	return lease.Wait{Until: a.dueAt}
}

// setGrant stores the holder's grant, whose write began at start.
func (a *Allocation) setGrant(grant Grant, start clock.Instant) {
	a.sequence = grant.Sequence
	a.amount = grant.Amount
	a.expiresAt = max(a.expiresAt, start.Add(a.config.TTL-a.config.Margin))
	a.dueAt = start.Add(a.config.RenewEvery)
}

// writeUnknown handles a write of unknown outcome: it reads the row at once the
// first time, and after RetryEvery from then on.
func (a *Allocation) writeUnknown(err error, now clock.Instant) lease.Step {
	if a.oldestStart != 0 {
		return a.retryLater(err, now)
	}
	a.mayHaveWritten()
	return a.read()
}

// mayHaveWritten records that the last write may have made, or may yet make, the
// next version of the row. The field oldestStart is the start of the oldest such
// write: the grant is counted from there if it turns out to be written.
func (a *Allocation) mayHaveWritten() {
	if a.oldestStart == 0 {
		a.oldestStart = a.writeStart
	}
}

// retryLater waits for the next try, or ends with the error during a release.
func (a *Allocation) retryLater(err error, now clock.Instant) lease.Step {
	if a.releasing {
		return lease.Ended{Err: err}
	}
	a.dueAt = now.Add(a.config.RetryEvery)
	return lease.Wait{Until: a.dueAt}
}

func (a *Allocation) write(next Ledger, now clock.Instant) lease.Step {
	a.callOutstanding = true
	a.writeStart = now
	a.pendingLedger = next
	return lease.Write{Transaction: row.Transaction{Changes: []row.Change{{
		Key:    RowKey(a.limit.Name),
		Expect: a.version,
		Value:  codec.Encode(next),
	}}}}
}

func (a *Allocation) read() lease.Step {
	a.callOutstanding = true
	return lease.Read{Key: RowKey(a.limit.Name)}
}
