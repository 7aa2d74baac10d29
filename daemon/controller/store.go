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
	// headInterval is the time between two reads of the head, which finds
	// confirmations whose news was lost.
	headInterval = 2 * time.Second
	// historyDays is how many days of plans are listed.
	historyDays = 2
)

// store is the duty that keeps plans and the chain of configurations in the
// table service.
type store struct {
	inbox    *ring.Ring[storeEvent]
	planner  *ring.Ring[plannerEvent]
	table    Table
	clock    clock.Clock
	now      func() time.Time
	head     plan.Head
	nextRead clock.Instant
	reading  bool
	jobs     int
	unknowns int
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
		s.begin(e.request)
	case e.answer != nil:
		e.answer.next(e.answer)
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "store", State: storeDump{Version: s.head.Configuration.Version, Jobs: s.jobs, UnknownOutcomes: s.unknowns}})
	}
}

func (s *store) begin(r *storeRequest) {
	s.jobs++
	switch r.kind {
	case loadHead:
		s.readHead(func(head *plan.Head, err error) {
			s.finish(storeResult{kind: r.kind, ticket: r.ticket, head: head, err: err})
		})
	case loadPlan:
		s.read(planKey(r.id), func(a *tableAnswer) { s.finishPlan(r, a) })
	case listPlans:
		job := &listJob{store: s, request: r}
		job.begin()
	case savePlan:
		s.save(r)
	case confirmPlan:
		job := &confirmJob{store: s, request: r}
		job.begin()
	}
}

func (s *store) finishPlan(r *storeRequest, a *tableAnswer) {
	record, err := decodeRecord(r.id, a)
	s.finish(storeResult{kind: r.kind, ticket: r.ticket, record: record, err: err})
}

func (s *store) save(r *storeRequest) {
	record := &plan.Record{Plan: *r.plan}
	value, err := json.Marshal(record)
	if err != nil {
		s.finish(storeResult{kind: r.kind, ticket: r.ticket, err: &plan.EncodeError{Err: err}})
		return
	}
	change := row.Change{Key: planKey(r.plan.ID), Value: value}
	s.write(row.Transaction{Changes: []row.Change{change}}, func(a *tableAnswer) {
		// The row's name is derived from its content, so a row that is there
		// already is the outcome of an earlier try.
		var conflict *row.ConflictError
		if errors.As(a.err, &conflict) {
			a.err = nil
		}
		s.finish(storeResult{kind: r.kind, ticket: r.ticket, record: record, err: a.err})
	})
}

// finish answers a request. The planner reserves a slot for each.
func (s *store) finish(result storeResult) {
	s.jobs--
	_ = s.planner.OfferReserved(plannerEvent{result: &result})
}

// pollHead reads the head when it is due.
func (s *store) pollHead() {
	now := s.clock.Now()
	if s.nextRead.After(now) {
		return
	}
	s.nextRead = now.Add(headInterval)
	if s.reading {
		return
	}
	s.reading = true
	s.readHead(func(*plan.Head, error) { s.reading = false })
}

// readHead reads the configuration in force: the small head row, and the row of
// its version if that is not known yet.
func (s *store) readHead(next func(*plan.Head, error)) {
	s.read(chain.HeadKey(), func(a *tableAnswer) {
		if a.err != nil {
			next(nil, a.err)
			return
		}
		found, err := confirm.DecodeHead(a.row())
		if err != nil {
			next(nil, &RowError{Key: chain.HeadKey(), Err: err})
			return
		}
		s.readVersion(found.Version, next)
	})
}

// readVersion reads a version of the configuration; version 0 is empty.
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
	s.read(chain.VersionKey(version), func(a *tableAnswer) {
		head, err := decodeVersionRow(a)
		if err == nil {
			s.learn(head)
		}
		next(head, err)
	})
}

// learn takes a configuration that was read. A later one is passed on.
func (s *store) learn(head *plan.Head) {
	if head.Configuration.Version <= s.head.Configuration.Version {
		return
	}
	// Without room at the planner the next poll reads the version again.
	if s.planner.Offer(plannerEvent{result: &storeResult{head: head}}) == nil {
		s.head = *head
	}
}

// count counts the writes whose answer was lost.
func (s *store) count(err error) {
	var unknown *row.UnknownError
	if errors.As(err, &unknown) {
		s.unknowns++
	}
}

func (s *store) read(key row.Key, next func(*tableAnswer)) {
	s.call(next, func(done func(*tableAnswer)) {
		s.table.Read(key, func(r row.Row, err error) { done(&tableAnswer{rows: []row.Row{r}, err: err}) })
	})
}

func (s *store) list(partition, prefix string, next func(*tableAnswer)) {
	s.call(next, func(done func(*tableAnswer)) {
		s.table.List(partition, prefix, func(rows []row.Row, err error) { done(&tableAnswer{rows: rows, err: err}) })
	})
}

func (s *store) write(t row.Transaction, next func(*tableAnswer)) {
	s.call(next, func(done func(*tableAnswer)) {
		s.table.Write(t, func(err error) { done(&tableAnswer{err: err}) })
	})
}

// call makes a call whose answer comes back through the ring, into a slot that
// is reserved before. Without a slot it makes none.
func (s *store) call(next func(*tableAnswer), begin func(done func(*tableAnswer))) {
	if err := s.inbox.Reserve(); err != nil {
		next(&tableAnswer{err: &row.UnavailableError{Err: err}})
		return
	}
	// The function runs on a thread of the table's client.
	begin(func(a *tableAnswer) {
		a.next = next
		_ = s.inbox.OfferReserved(storeEvent{answer: a})
	})
}

func decodeVersionRow(a *tableAnswer) (*plan.Head, error) {
	if a.err != nil {
		return nil, a.err
	}
	r := a.row()
	c, err := confirm.DecodeConfiguration(r)
	if err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return decodeVersion(c)
}

func decodeVersion(c confirm.Configuration) (*plan.Head, error) {
	head := &plan.Head{}
	if err := json.Unmarshal(c.Value, head); err != nil {
		return nil, &RowError{Key: chain.VersionKey(c.Version), Err: err}
	}
	return head, nil
}

func decodeRecord(id string, a *tableAnswer) (*plan.Record, error) {
	if a.err != nil {
		return nil, a.err
	}
	r := a.row()
	if r.Version == 0 {
		return nil, &plan.NotFoundError{Plan: id}
	}
	record := &plan.Record{}
	if err := json.Unmarshal(r.Value, record); err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return record, nil
}

// latestFirst orders plans for the history.
func latestFirst(records []plan.Record) {
	slices.SortFunc(records, func(a, b plan.Record) int {
		return b.Plan.Created.Compare(a.Plan.Created)
	})
}
