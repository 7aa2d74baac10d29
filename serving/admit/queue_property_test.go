package admit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
)

// model tracks each entry of a queue from admission to its end. Each time that an
// entry waits, it must leave the queue exactly once.
type model struct {
	q       *admit.Queue
	now     clock.Instant
	nextID  uint64
	waiting map[uint64]admit.Entry
	running map[uint64]admit.Entry
}

const (
	modelCapacity   = 20
	modelConcurrent = 6
)

func (m *model) admit(t *rapid.T) {
	m.nextID++
	e := admit.Entry{
		ID:            m.nextID,
		Customer:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Pool:          rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
		Priority:      rapid.IntRange(0, 2).Draw(t, "priority"),
		Arrived:       m.now,
		Deadline:      m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
		PredictedWork: time.Duration(rapid.IntRange(1, 3000).Draw(t, "work")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "target") {
		e.FirstTokenBy = m.now.Add(time.Second)
	}
	if m.q.Admit(e, m.now) == nil {
		m.waiting[e.ID] = e
	}
}

func (m *model) next(t *rapid.T) {
	pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "room")
	e, ok := m.q.Next(m.now, func(e admit.Entry) bool { return e.Pool == pool })
	if !ok {
		return
	}
	m.leave(t, e)
	if e.Pool != pool {
		t.Fatalf("entry %d was dispatched to pool %s, which has no room", e.ID, e.Pool)
	}
	m.running[e.ID] = e
}

func (m *model) leave(t *rapid.T, e admit.Entry) {
	if _, ok := m.waiting[e.ID]; !ok {
		t.Fatalf("entry %d left the queue without waiting in it", e.ID)
	}
	delete(m.waiting, e.ID)
}

func (m *model) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
	for _, d := range m.q.DropExpired(m.now) {
		m.leave(t, d.Entry)
	}
	for id, e := range m.waiting {
		if e.Deadline.Add(-e.PredictedWork).Before(m.now) {
			t.Fatalf("entry %d is past its deadline and was not dropped", id)
		}
	}
}

func (m *model) end(t *rapid.T) {
	for id, e := range m.running {
		delete(m.running, id)
		if rapid.Bool().Draw(t, "requeue") {
			m.q.Requeue(e)
			m.waiting[id] = e
		} else {
			m.q.Finish(e, time.Second)
		}
		return
	}
}

func (m *model) cancel(t *rapid.T) {
	for id := range m.waiting {
		if !m.q.Remove(id) {
			t.Fatalf("entry %d was waiting and not found", id)
		}
		delete(m.waiting, id)
		return
	}
}

func (m *model) check(t *rapid.T) {
	dropped := m.q.DropExpired(0)
	for _, d := range dropped {
		m.leave(t, d.Entry)
	}
	if m.q.Len() != len(m.waiting) {
		t.Fatalf("%d entries wait, %d are known", m.q.Len(), len(m.waiting))
	}
	if m.q.Len() > modelCapacity+len(m.running)+modelConcurrent {
		t.Fatalf("%d entries exceed the capacity", m.q.Len())
	}
	counts := map[string]int{}
	for _, e := range m.waiting {
		counts[e.Customer]++
	}
	for _, e := range m.running {
		counts[e.Customer]++
	}
	if counts["a"] > modelConcurrent {
		t.Fatalf("%d requests exceed the customer's limit", counts["a"])
	}
}

func TestEachEntryLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: admit.New(admit.Config{Capacity: modelCapacity}), waiting: map[uint64]admit.Entry{}, running: map[uint64]admit.Entry{}}
		m.q.SetCustomers([]admit.Customer{{Name: "a", MaxConcurrent: modelConcurrent}, {Name: "b", Share: 3}})
		t.Repeat(map[string]func(*rapid.T){
			"admit":  m.admit,
			"next":   m.next,
			"expire": m.expire,
			"end":    m.end,
			"cancel": m.cancel,
			"":       m.check,
		})
	})
}

// TestBackloggedCustomersGetTheirShares keeps both customers backlogged. Without
// fair queueing the one with more work for each entry would get more than its
// share.
func TestBackloggedCustomersGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]int{"a": rapid.IntRange(1, 8).Draw(t, "a"), "b": rapid.IntRange(1, 8).Draw(t, "b")}
		works := map[string]int{"a": rapid.IntRange(1, 50).Draw(t, "work a"), "b": rapid.IntRange(1, 50).Draw(t, "work b")}
		q := admit.New(admit.Config{Capacity: 100, FairnessLag: 250 * time.Millisecond})
		q.SetCustomers([]admit.Customer{{Name: "a", Share: shares["a"]}, {Name: "b", Share: shares["b"]}})
		var id uint64
		served := map[string]float64{}
		add := func(customer string) {
			id++
			work := time.Duration(works[customer]) * time.Millisecond
			if err := q.Admit(admit.Entry{ID: id, Customer: customer, Pool: "p", PredictedWork: work}, 0); err != nil {
				t.Fatal(err)
			}
		}
		for range 10 {
			add("a")
			add("b")
		}
		for range 4000 {
			e, ok := q.Next(0, func(admit.Entry) bool { return true })
			if !ok {
				t.Fatal("nothing to dispatch")
			}
			served[e.Customer] += e.PredictedWork.Seconds()
			q.Finish(e, e.PredictedWork)
			add(e.Customer)
		}
		a := served["a"] / float64(shares["a"])
		b := served["b"] / float64(shares["b"])
		if lag := a - b; lag > 1 || lag < -1 {
			t.Fatalf("customers differ by %.3f s of work per unit of share", lag)
		}
	})
}
