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
	window  = attempt.DefaultWindow()
	request = attempt.Request{
		ID:          attempt.ID{Customer: "noranbus/academy", Key: "boarding-7"},
		Fingerprint: attempt.FingerprintOf([]byte("confirm"), []byte("7")),
	}
	holderA = attempt.Holder{Instance: "a", Incarnation: 1}
	holderB = attempt.Holder{Instance: "b", Incarnation: 1}
)

const start = clock.Instant(time.Hour)

// noResponse is the cause of the errors of the table service in these tests.
type noResponse struct{}

func (noResponse) Error() string { return "response lost" }

// table is a table service with one row, to which it applies the only change of
// each transaction.
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

// runSteps carries out reads and writes without faults and returns the first step
// that is neither.
func runSteps(t *table, step attempt.Step, machine interface {
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
		t           *table
		a, b        *attempt.Claim
		unknown     = &row.UnknownError{Err: noResponse{}}
		unavailable = &row.UnavailableError{Err: noResponse{}}
		refuse      attempt.Refuse
	)
	BeforeEach(func() {
		t = &table{}
		a = attempt.NewClaim(window, holderA, 1, request)
		b = attempt.NewClaim(window, holderB, 1, request)
	})
	hold := func() { Expect(runSteps(t, a.Begin(start), a, start)).To(BeAssignableToTypeOf(attempt.Send{})) }
	send := func() {
		hold()
		Expect(a.MaySend(start)).To(Succeed())
		Expect(a.MarkSent()).To(Succeed())
	}
	runEnd := func(c *attempt.Claim, step attempt.Step, err error) attempt.Step {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		return runSteps(t, step, c, start)
	}

	It("lets one holder send and gives the other a duplicate, later with the answer", func() {
		send()
		Expect(runSteps(t, b.Begin(start), b, start)).To(HaveField("Record.State", attempt.Claimed))
		step, err := a.Complete(attempt.Answer{Reference: "o/1", Digest: 7})
		Expect(runEnd(a, step, err)).To(Equal(attempt.Done{}))
		again := attempt.NewClaim(window, holderB, 2, request)
		Expect(runSteps(t, again.Begin(start), again, start)).To(HaveField("Record.Answer.Reference", "o/1"))
	})

	It("refuses at once if the table service is unavailable, and never sends", func() {
		a.Begin(start)
		Expect(a.Written(unavailable, start)).To(BeAssignableToTypeOf(refuse))
		Expect(a.MaySend(start)).NotTo(Succeed())
	})

	It("sends after a write of unknown outcome only if it owns the row", func() {
		Expect(t.apply(a.Begin(start).(attempt.Write))).To(Succeed())
		Expect(runSteps(t, a.Written(unknown, start), a, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		b.Begin(start)
		Expect(runSteps(t, b.Written(unknown, start), b, start)).To(BeAssignableToTypeOf(attempt.Duplicate{}))
	})

	It("never sends after a refusal, even if its insert takes effect later", func() {
		late := a.Begin(start).(attempt.Write)
		Expect(a.Written(unknown, start)).To(BeAssignableToTypeOf(attempt.Read{}))
		Expect(a.ReadResult(row.Row{}, unavailable, start)).To(BeAssignableToTypeOf(refuse))
		Expect(t.apply(late)).To(Succeed())
		Expect(a.MaySend(start)).NotTo(Succeed())
		step, err := a.Abandon()
		Expect(runEnd(a, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.NotRun))
	})

	It("never sends after its deadline, and frees the key for the next attempt", func() {
		hold()
		late := start.Add(window.Length)
		var expired *attempt.ExpiredError
		Expect(a.MaySend(late)).To(BeAssignableToTypeOf(expired))
		Expect(a.MaySend(start)).NotTo(Succeed())
		step, err := a.Abandon()
		Expect(runEnd(a, step, err)).To(Equal(attempt.Done{}))
		Expect(runSteps(t, b.Begin(late), b, late)).To(HaveField("Attempt", uint32(2)))
	})

	It("computes the deadline before the write", func() {
		Expect(t.apply(a.Begin(start).(attempt.Write))).To(Succeed())
		Expect(a.Written(nil, start.Add(window.Length))).To(BeAssignableToTypeOf(refuse))
	})

	It("frees the key after Cancel, once the outstanding write has ended", func() {
		late := a.Begin(start).(attempt.Write)
		step, err := a.Cancel(noResponse{})
		Expect(err).NotTo(HaveOccurred())
		Expect(step).To(BeAssignableToTypeOf(refuse))
		Expect(runSteps(t, a.Written(t.apply(late), start), a, start)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.NotRun))
	})

	It("refuses a different request under the same key", func() {
		hold()
		other := request
		other.Fingerprint++
		c := attempt.NewClaim(window, holderB, 3, other)
		var mismatch *attempt.FingerprintError
		Expect(runSteps(t, c.Begin(start), c, start)).To(HaveField("Err", BeAssignableToTypeOf(mismatch)))
	})

	It("lets exactly one successor send after a handoff before the send", func() {
		hold()
		handoff, err := a.Release()
		Expect(err).NotTo(HaveOccurred())
		Expect(a.MaySend(start)).NotTo(Succeed())
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		back := attempt.NewClaimFrom(window, holderA, 2, handoff)
		Expect(runSteps(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		Expect(runSteps(t, back.Begin(start), back, start)).To(BeAssignableToTypeOf(attempt.Duplicate{}))
	})

	It("does not run a request that another successor has refused", func() {
		hold()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		Expect(runSteps(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Send{}))
		step, err := b.Abandon()
		Expect(runEnd(b, step, err)).To(Equal(attempt.Done{}))
		late := attempt.NewClaimFrom(window, holderA, 2, handoff)
		Expect(runSteps(t, late.Begin(start), late, start)).To(HaveField("Record.State", attempt.NotRun))
		Expect(late.MaySend(start)).NotTo(Succeed())
	})

	It("does not report a request as not run after a handoff of unknown outcome", func() {
		hold()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		b.Begin(start)
		Expect(b.Written(unavailable, start)).To(BeAssignableToTypeOf(attempt.HandoffFailed{}))
	})

	It("lets the successor finish but not send after a handoff after the send", func() {
		send()
		handoff, _ := a.Release()
		b = attempt.NewClaimFrom(window, holderB, 9, handoff)
		Expect(runSteps(t, b.Begin(start), b, start)).To(BeAssignableToTypeOf(attempt.Attach{}))
		Expect(b.MaySend(start)).NotTo(Succeed())
		Expect(b.MarkNotSent()).NotTo(Succeed())
		step, err := b.Complete(attempt.Answer{})
		Expect(runEnd(b, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.Completed))
	})

	It("allows another send if no byte was sent", func() {
		send()
		Expect(a.MarkNotSent()).To(Succeed())
		Expect(a.MaySend(start)).To(Succeed())
	})

	It("resolves a claim after the window, and lets a live holder correct the row", func() {
		send()
		found := runSteps(t, b.Begin(start), b, start).(attempt.Duplicate)
		r := attempt.NewResolver(window, found, start)
		Expect(r.Next(start)).To(Equal(attempt.Wait{Until: start.Add(window.Length)}))
		end := start.Add(window.Length)
		Expect(runSteps(t, r.Next(end), r, end)).To(HaveField("Record.State", attempt.Unknown))
		step, err := a.Complete(attempt.Answer{})
		Expect(runEnd(a, step, err)).To(Equal(attempt.Done{}))
		Expect(t.record().State).To(Equal(attempt.Completed))
	})

	It("refuses if the row is not a valid record", func() {
		a.Begin(start)
		a.Written(&row.ConflictError{}, start)
		var invalid *attempt.InvalidRecordError
		step := a.ReadResult(row.Row{Version: 3, Value: []byte("?")}, nil, start)
		Expect(step).To(HaveField("Err", BeAssignableToTypeOf(invalid)))
		Expect(a.MaySend(start)).NotTo(Succeed())
	})

	It("removes only rows of old requests", func() {
		send()
		change, ok := attempt.Removal(t.Row, request.Created+1)
		Expect(ok).To(BeTrue())
		Expect(change).To(Equal(row.Change{Key: request.ID.RowKey(), Expect: 1, Delete: true}))
		_, ok = attempt.Removal(t.Row, request.Created)
		Expect(ok).To(BeFalse())
		_, ok = attempt.Removal(row.Row{}, request.Created+1)
		Expect(ok).To(BeFalse())
	})

	It("lets at most one of many claims send, whichever responses are lost or writes delayed", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := &table{}
			var delayed []attempt.Write
			sends := 0
			for nonce := range rapid.Uint64Range(1, 6).Draw(rt, "claims") {
				c := attempt.NewClaim(window, holderA, nonce, request)
				now := start
				step := c.Begin(now)
				for done := false; !done; {
					now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
					switch s := step.(type) {
					case attempt.Write:
						var err error = unknown
						switch rapid.IntRange(0, 3).Draw(rt, "fault") {
						case 0:
							err = t.apply(s)
						case 1:
							_ = t.apply(s)
						case 2:
							delayed = append(delayed, s)
						case 3:
							err = unavailable
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
						runSteps(t, step, c, now)
					}
				}
			}
		})
	})
})

func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	for nonce := uint64(0); b.Loop(); nonce++ {
		c := attempt.NewClaim(window, holderA, nonce, request)
		c.Begin(start)
		c.Written(nil, start)
		_ = c.MaySend(start)
		_ = c.MarkSent()
		_, _ = c.Complete(attempt.Answer{Digest: nonce})
		c.Written(nil, start)
	}
}
