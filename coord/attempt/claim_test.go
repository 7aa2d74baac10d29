package attempt_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

var (
	window = attempt.DefaultWindow()
	ask    = attempt.Request{
		ID:          attempt.ID{Customer: "noranbus/academy", Key: "boarding-7"},
		Fingerprint: attempt.FingerprintOf([]byte("confirm"), []byte("7")),
	}
	holderA = attempt.Holder{Instance: "a", Incarnation: 1}
	holderB = attempt.Holder{Instance: "b", Incarnation: 1}
)

const start = clock.Instant(time.Hour)

// answerLost is the cause of an unknown outcome in these tests.
type answerLost struct{}

func (answerLost) Error() string { return "answer lost" }

// table applies one change a transaction, as the table service does.
type table struct{ row.Row }

func (t *table) apply(w attempt.Write) error {
	change := w.Transaction.Changes[0]
	if change.Expect != t.Version {
		return &row.ConflictError{Key: change.Key}
	}
	t.Row = row.Row{Key: change.Key, Version: change.Expect + 1, Value: change.Value}
	return nil
}

func (t *table) record() attempt.Record {
	record, err := attempt.DecodeRecord(t.Row)
	Expect(err).NotTo(HaveOccurred())
	return record
}

// drive carries out steps on a table without faults until one needs its owner.
func drive(t *table, step attempt.Step, machine interface {
	Written(error, clock.Instant) attempt.Step
	ReadResult(row.Row, error, clock.Instant) attempt.Step
}, now clock.Instant,
) attempt.Step {
	for {
		switch s := step.(type) {
		case attempt.Write:
			step = machine.Written(t.apply(s), now)
		case attempt.Read:
			step = machine.ReadResult(t.Row, nil, now)
		default:
			return step
		}
	}
}

var _ = Describe("Claim", func() {
	var (
		t      *table
		a, b   *attempt.Claim
		lost   = &row.UnknownError{Err: answerLost{}}
		away   = &row.UnavailableError{Err: answerLost{}}
		refuse attempt.Refuse
	)
	BeforeEach(func() {
		t = &table{}
		a = attempt.NewClaim(window, holderA, 1, ask)
		b = attempt.NewClaim(window, holderB, 1, ask)
	})
	held := func() { Expect(drive(t, a.Begin(start), a, start)).To(BeAssignableToTypeOf(attempt.Send{})) }
	sent := func() {
		held()
		Expect(a.MaySend(start)).To(Succeed())
		Expect(a.Sent()).To(Succeed())
	}
	endOf := func(c *attempt.Claim, step attempt.Step, err error) attempt.Step {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		return drive(t, step, c, start)
	}

	It("lets one holder send and gives the other a duplicate with the answer", func() {
		sent()
		Expect(drive(t, b.Begin(start), b, start)).To(HaveField("Record.State", attempt.Claimed))
		step, err := a.Complete(attempt.Answer{Reference: "o/1", Digest: 7})
		Expect(endOf(a, step, err)).To(Equal(attempt.Done{}))
		again := attempt.NewClaim(window, holderB, 2, ask)
		Expect(drive(t, again.Begin(start), again, start)).To(HaveField("Record.Answer.Reference", "o/1"))
	})

	It("refuses at once when the table service is away, and never sends", func() {
		a.Begin(start)
		Expect(a.Written(away, start)).To(BeAssignableToTypeOf(refuse))
		Expect(a.MaySend(start)).NotTo(Succeed())
	})

	It("sends after a lost answer only when the row is its own", func() {
		Expect(t.apply(a.Begin(start).(attempt.Write))).To(Succeed())
		Expect(drive(t, a.Written(lost, start), a, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		b.Begin(start)
		Expect(drive(t, b.Written(lost, start), b, start)).To(BeAssignableToTypeOf(attempt.Duplicate{}))
	})

	It("never sends after a refusal, although its insert lands later", func() {
		late := a.Begin(start).(attempt.Write)
		Expect(a.Written(lost, start)).To(BeAssignableToTypeOf(attempt.Read{}))
		Expect(a.ReadResult(row.Row{}, away, start)).To(BeAssignableToTypeOf(refuse))
		Expect(t.apply(late)).To(Succeed())
		Expect(a.MaySend(start)).NotTo(Succeed())
		step, err := a.Abandon()
		Expect(endOf(a, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.NotRun))
	})

	It("never sends after its deadline, and frees the key for the next attempt", func() {
		held()
		late := start.Add(window.Length)
		var expired *attempt.ExpiredError
		Expect(a.MaySend(late)).To(BeAssignableToTypeOf(expired))
		Expect(a.MaySend(start)).NotTo(Succeed())
		step, err := a.Abandon()
		Expect(endOf(a, step, err)).To(Equal(attempt.Done{}))
		Expect(drive(t, b.Begin(late), b, late)).To(HaveField("Attempt", uint32(2)))
	})

	It("counts the deadline from before the write", func() {
		Expect(t.apply(a.Begin(start).(attempt.Write))).To(Succeed())
		Expect(a.Written(nil, start.Add(window.Length))).To(BeAssignableToTypeOf(refuse))
	})

	It("frees the key after a cancellation, once the outstanding write has ended", func() {
		late := a.Begin(start).(attempt.Write)
		step, err := a.Cancel(answerLost{})
		Expect(err).NotTo(HaveOccurred())
		Expect(step).To(BeAssignableToTypeOf(refuse))
		Expect(drive(t, a.Written(t.apply(late), start), a, start)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.NotRun))
	})

	It("reports another request under the same key", func() {
		held()
		other := ask
		other.Fingerprint++
		c := attempt.NewClaim(window, holderB, 3, other)
		var fault *attempt.FingerprintError
		Expect(drive(t, c.Begin(start), c, start)).To(HaveField("Err", BeAssignableToTypeOf(fault)))
	})

	It("hands over before the send: exactly one successor may send", func() {
		held()
		handoff, err := a.Release()
		Expect(err).NotTo(HaveOccurred())
		Expect(a.MaySend(start)).NotTo(Succeed())
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		back := attempt.NewClaimFrom(window, holderA, 2, handoff)
		Expect(drive(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		Expect(drive(t, back.Begin(start), back, start)).To(BeAssignableToTypeOf(attempt.Duplicate{}))
	})

	It("does not run what another successor has refused", func() {
		held()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		Expect(drive(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		step, err := b.Abandon()
		Expect(endOf(b, step, err)).To(Equal(attempt.Done{}))
		late := attempt.NewClaimFrom(window, holderA, 2, handoff)
		Expect(drive(t, late.Begin(start), late, start)).To(HaveField("Record.State", attempt.NotRun))
		Expect(late.MaySend(start)).NotTo(Succeed())
	})

	It("does not call a hand-over of unknown outcome not run", func() {
		held()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		b.Begin(start)
		Expect(b.Written(away, start)).To(BeAssignableToTypeOf(attempt.Lost{}))
	})

	It("hands over after the send: the successor finishes and never sends", func() {
		sent()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		Expect(drive(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Attach{}))
		Expect(b.MaySend(start)).NotTo(Succeed())
		Expect(b.NotSent()).NotTo(Succeed())
		step, err := b.Complete(attempt.Answer{})
		Expect(endOf(b, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.Completed))
	})

	It("allows another try on proof that no byte left", func() {
		sent()
		Expect(a.NotSent()).To(Succeed())
		Expect(a.MaySend(start)).To(Succeed())
	})

	It("settles a dead holder's claim after a window, and lets a live one put it right", func() {
		sent()
		found := drive(t, b.Begin(start), b, start).(attempt.Duplicate)
		s := attempt.NewSettler(window, found, start)
		Expect(s.Next(start)).To(Equal(attempt.Wait{Until: start.Add(window.Length)}))
		end := start.Add(window.Length)
		Expect(drive(t, s.Next(end), s, end)).To(HaveField("Record.State", attempt.Unknown))
		step, err := a.Complete(attempt.Answer{})
		Expect(endOf(a, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.Completed))
	})

	It("refuses over a row that is no record", func() {
		a.Begin(start)
		a.Written(&row.ConflictError{}, start)
		var invalid *attempt.InvalidRecordError
		step := a.ReadResult(row.Row{Version: 3, Value: []byte("?")}, nil, start)
		Expect(step).To(HaveField("Err", BeAssignableToTypeOf(invalid)))
		Expect(a.MaySend(start)).NotTo(Succeed())
	})

	It("removes the row of an old request, and no other", func() {
		sent()
		change, ok := attempt.Removal(t.Row, ask.Created+1)
		Expect(ok).To(BeTrue())
		Expect(change).To(Equal(row.Change{Key: ask.ID.Row(), Expect: 1, Delete: true}))
		_, ok = attempt.Removal(t.Row, ask.Created)
		Expect(ok).To(BeFalse())
		_, ok = attempt.Removal(row.Row{}, ask.Created+1)
		Expect(ok).To(BeFalse())
	})

	It("lets at most one of many claims send, under any order of lost answers", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := &table{}
			var delayed []attempt.Write
			sends := 0
			for nonce := range rapid.Uint64Range(1, 6).Draw(rt, "claims") {
				c := attempt.NewClaim(window, holderA, nonce, ask)
				now := start
				step := c.Begin(now)
				for done := false; !done; {
					now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
					switch s := step.(type) {
					case attempt.Write:
						var err error = lost
						switch rapid.IntRange(0, 3).Draw(rt, "fault") {
						case 0:
							err = t.apply(s)
						case 1:
							_ = t.apply(s)
						case 2:
							delayed = append(delayed, s)
						case 3:
							err = away
						}
						step = c.Written(err, now)
					case attempt.Read:
						for _, w := range delayed {
							if rapid.Bool().Draw(rt, "lands") {
								_ = t.apply(w)
							}
						}
						step = c.ReadResult(t.Row, nil, now)
					default:
						done = true
					}
				}
				if c.MaySend(now) == nil {
					sends++
					NewWithT(rt).Expect(sends).To(Equal(1))
				} else if rapid.Bool().Draw(rt, "frees") {
					if step, err := c.Abandon(); err == nil {
						drive(t, step, c, now)
					}
				}
			}
		})
	})
})

func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	for nonce := uint64(0); b.Loop(); nonce++ {
		c := attempt.NewClaim(window, holderA, nonce, ask)
		c.Begin(start)
		c.Written(nil, start)
		_ = c.MaySend(start)
		_ = c.Sent()
		_, _ = c.Complete(attempt.Answer{Digest: nonce})
		c.Written(nil, start)
	}
}
