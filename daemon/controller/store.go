package controller

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

const (
	storeCapacity = 256
	// headInterval is the time between two reads of the head row. Polling finds
	// confirmations by other controllers whose update was lost.
	headInterval = 2 * time.Second
	// historyDays is the number of days whose plans are listed.
	historyDays = 2
)

// store is the duty that reads and writes plans and the chain of configurations
// in the table service.
type store struct {
	inbox         *ring.Ring[storeEvent]
	planner       *ring.Ring[plannerEvent]
	table         Table
	clock         clock.Clock
	now           func() time.Time
	head          plan.Head
	nextRead      clock.Instant
	headPending   bool
	jobs          int
	unknownWrites int
}

func newStore(table Table, clk clock.Clock, now func() time.Time) *store {
	return &store{inbox: ring.New[storeEvent]("store", storeCapacity), table: table, clock: clk, now: now}
}

func (s *store) run() error {
	for {
		e, ok, err := s.inbox.TakeUntil(s.nextRead.Sub(s.clock.Now()))
		if err != nil {
			return nil
		}
		if ok {
			s.handle(e)
		}
		s.pollHead()
	}
}

func (s *store) handle(e storeEvent) {
	switch {
	case e.request != nil:
		s.dispatch(e.request)
	case e.result != nil:
		e.result.resume(e.result)
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "store", State: storeDump{Version: s.head.Configuration.Version, Jobs: s.jobs, UnknownOutcomes: s.unknownWrites}})
	}
}

func (s *store) dispatch(r *storeRequest) {
	s.jobs++
	switch r.kind {
	case loadHead:
		s.readHead(func(head *plan.Head, err error) {
			s.finish(storeResult{kind: r.kind, requestID: r.requestID, head: head, err: err})
		})
	case loadPlan:
		s.read(planKey(r.planID), func(a *tableResult) { s.finishPlan(r, a) })
	case listPlans:
		job := &listJob{store: s, request: r}
		job.listDay()
	case savePlan:
		s.savePlan(r)
	case confirmPlan:
		job := &confirmJob{store: s, request: r}
		job.begin()
	}
}

func (s *store) finishPlan(r *storeRequest, found *tableResult) {
	record, err := decodeRecord(r.planID, found)
	s.finish(storeResult{kind: r.kind, requestID: r.requestID, record: record, err: err})
}

func (s *store) savePlan(r *storeRequest) {
	record := &plan.Record{Plan: *r.plan}
	value, err := json.Marshal(record)
	if err != nil {
		s.finish(storeResult{kind: r.kind, requestID: r.requestID, err: &plan.EncodeError{Err: err}})
		return
	}
	change := row.Change{Key: planKey(r.plan.ID), Value: value}
	s.write(row.Transaction{Changes: []row.Change{change}}, func(a *tableResult) {
		// The key is derived from the plan's content, so a conflict means that an
		// earlier attempt has stored the same plan.
		var conflict *row.ConflictError
		if errors.As(a.err, &conflict) {
			a.err = nil
		}
		s.finish(storeResult{kind: r.kind, requestID: r.requestID, record: record, err: a.err})
	})
}

// finish sends the result of a request. The planner has reserved a slot for it.
func (s *store) finish(result storeResult) {
	s.jobs--
	_ = s.planner.OfferReserved(plannerEvent{result: &result})
}

// pollHead reads the head row once per headInterval.
func (s *store) pollHead() {
	now := s.clock.Now()
	if s.nextRead.After(now) {
		return
	}
	s.nextRead = now.Add(headInterval)
	if s.headPending {
		return
	}
	s.headPending = true
	s.readHead(func(*plan.Head, error) { s.headPending = false })
}

// readHead reads the configuration in force: the small head row, and the row of
// its version only if that version is not known yet.
func (s *store) readHead(next func(*plan.Head, error)) {
	s.read(configurationChain.HeadKey(), func(a *tableResult) {
		if a.err != nil {
			next(nil, a.err)
			return
		}
		found, err := confirm.DecodeHead(a.row())
		if err != nil {
			next(nil, &RowError{Key: configurationChain.HeadKey(), Err: err})
			return
		}
		s.readVersion(found.Version, next)
	})
}

// readVersion reads a version of the configuration. Version 0 is the empty
// configuration.
func (s *store) readVersion(version uint64, next func(*plan.Head, error)) {
	if version == s.head.Configuration.Version {
		head := s.head
		next(&head, nil)
		return
	}
	if version == 0 {
		next(&plan.Head{}, nil)
		return
	}
	s.read(configurationChain.VersionKey(version), func(a *tableResult) {
		head, err := decodeVersionRow(a)
		if err == nil {
			s.updateHead(head)
		}
		next(head, err)
	})
}

// updateHead records a newer configuration and passes it to the planner.
func (s *store) updateHead(head *plan.Head) {
	if head.Configuration.Version <= s.head.Configuration.Version {
		return
	}
	// If the ring is full, the next poll reads the version again.
	if s.planner.Offer(plannerEvent{result: &storeResult{head: head}}) == nil {
		s.head = *head
	}
}

// countUnknown counts a write whose response was lost.
func (s *store) countUnknown(err error) {
	var unknown *row.UnknownError
	if errors.As(err, &unknown) {
		s.unknownWrites++
	}
}

func (s *store) read(key row.Key, next func(*tableResult)) {
	s.call(next, func(done func(*tableResult)) {
		s.table.Read(key, func(r row.Row, err error) { done(&tableResult{rows: []row.Row{r}, err: err}) })
	})
}

func (s *store) list(partition, prefix string, next func(*tableResult)) {
	s.call(next, func(done func(*tableResult)) {
		s.table.List(partition, prefix, func(rows []row.Row, err error) { done(&tableResult{rows: rows, err: err}) })
	})
}

func (s *store) write(t row.Transaction, next func(*tableResult)) {
	s.call(next, func(done func(*tableResult)) {
		s.table.Write(t, func(err error) { done(&tableResult{err: err}) })
	})
}

// call makes an asynchronous call whose result is handled on the duty's thread.
// It reserves a slot in the inbox first; without one it makes no call and fails
// at once.
func (s *store) call(next func(*tableResult), begin func(done func(*tableResult))) {
	if err := s.inbox.Reserve(); err != nil {
		next(&tableResult{err: &row.UnavailableError{Err: err}})
		return
	}
	// This callback runs on a thread of the table client.
	begin(func(a *tableResult) {
		a.resume = next
		_ = s.inbox.OfferReserved(storeEvent{result: a})
	})
}

func decodeVersionRow(found *tableResult) (*plan.Head, error) {
	if found.err != nil {
		return nil, found.err
	}
	r := found.row()
	c, err := confirm.DecodeConfiguration(r)
	if err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return decodeVersion(c)
}

func decodeVersion(c confirm.Configuration) (*plan.Head, error) {
	head := &plan.Head{}
	if err := json.Unmarshal(c.Value, head); err != nil {
		return nil, &RowError{Key: configurationChain.VersionKey(c.Version), Err: err}
	}
	return head, nil
}

func decodeRecord(id string, found *tableResult) (*plan.Record, error) {
	if found.err != nil {
		return nil, found.err
	}
	r := found.row()
	if r.Version == 0 {
		return nil, &plan.NotFoundError{Plan: id}
	}
	record := &plan.Record{}
	if err := json.Unmarshal(r.Value, record); err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return record, nil
}

// sortLatestFirst sorts plans by creation time, newest first.
func sortLatestFirst(records []plan.Record) {
	slices.SortFunc(records, func(a, b plan.Record) int {
		return b.Plan.Created.Compare(a.Plan.Created)
	})
}
