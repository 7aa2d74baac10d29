package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// failedCall is the cause of a failed call to the table service.
type failedCall struct{}

func (failedCall) Error() string { return "failed call" }

// fixture is a Core with two engines and one plain service.
type fixture struct {
	core    *dispatch.Core
	now     clock.Instant
	actions []dispatch.Action
}

func newFixture() *fixture { return newFixtureAt("gateway-1") }

// newFixtureAt returns a fixture whose Core is that of the named gateway.
func newFixtureAt(instance string) *fixture {
	f := &fixture{now: clock.Instant(time.Hour)}
	f.core = dispatch.New(dispatch.Config{Holder: attempt.Holder{Instance: instance, Incarnation: 1}})
	f.core.Configure(&intent.Configuration{Version: 1, Documents: []intent.Document{{
		Member: "noranbus",
		Models: []intent.Model{{Name: "route-llm", Version: "1", FirstTokenMillis: 1000, NextTokenMillis: 50}},
		Pools: []intent.Pool{
			{Name: "route-llm", Kind: intent.Engine, Model: "route-llm", Replicas: 2, MaxConcurrent: 4},
			{Name: "rider-app", Kind: intent.PlainService, Replicas: 1, MaxConcurrent: 4},
		},
		Services: []intent.Service{{Name: "rider-app", Pool: "rider-app", TimeoutMillis: 5000,
			NonIdempotent: []intent.CallRule{{Method: "POST", PathPrefix: "/boardings"}}}},
		Customers: []intent.Customer{{Name: "academy", Share: 1}},
	}}}, f.now)
	f.core.UpsertInstances([]fleet.Instance{
		{ID: "e1", Member: "noranbus", Pool: "route-llm", Address: "10.0.0.1:1", State: fleet.Live},
		{ID: "e2", Member: "noranbus", Pool: "route-llm", Address: "10.0.0.2:1", State: fleet.Live},
		{ID: "s1", Member: "noranbus", Pool: "rider-app", Address: "10.0.0.3:1", State: fleet.Live},
	}, noTimeLeft, f.now)
	return f
}

func noTimeLeft(fleet.Instance) (time.Duration, bool) { return 0, false }

func (f *fixture) arrive(handle dispatch.CallerHandle, key string, idempotent bool) {
	f.core.Arrive(dispatch.Arrival{Handle: handle, Request: request.Request{
		ID: request.ID{Customer: "noranbus/academy", Key: key}, Member: "noranbus", Idempotent: idempotent,
		Model: "route-llm", Prompt: "rebuild the routes", MaxTokens: 4, Deadline: 30 * time.Second,
	}}, f.now)
	f.collect()
}

func (f *fixture) collect() {
	f.actions = append(f.actions, f.core.Actions()...)
}

// take returns the first pending action of a type and drops those before it.
func take[A dispatch.Action](f *fixture) A {
	GinkgoHelper()
	f.collect()
	for i, a := range f.actions {
		if found, ok := a.(A); ok {
			f.actions = f.actions[i+1:]
			return found
		}
	}
	var none A
	Fail("no such action")
	return none
}

func has[A dispatch.Action](f *fixture) bool {
	f.collect()
	for _, a := range f.actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

var _ = Describe("Core", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	It("delivers a whole answer once, in order, and ignores events of attempts that are not current", func() {
		f.arrive(1, "k", true)
		Expect(take[dispatch.Accept](f).Handle).To(Equal(dispatch.CallerHandle(1)))
		send := take[dispatch.Send](f)
		f.core.PieceReceived(send.Ref, 0, 1, "a ", f.now)
		f.core.PieceReceived(send.Ref, 0, 1, "a ", f.now)
		f.core.PieceReceived(dispatch.StreamRef{ID: send.Ref.ID, Attempt: 9}, 1, 1, "x ", f.now)
		f.core.PieceReceived(send.Ref, 1, 2, "b c ", f.now)
		f.core.Completed(send.Ref, dispatch.Usage{}, f.now)
		f.core.Completed(send.Ref, dispatch.Usage{}, f.now)
		Expect(take[dispatch.Deliver](f).Pieces[0].Text).To(Equal("a "))
		Expect(take[dispatch.Deliver](f).Pieces[0].Text).To(Equal("b c "))
		finish := take[dispatch.Finish](f)
		Expect(finish.Summary.Outcome()).To(Equal(request.Completed))
		Expect(has[dispatch.Finish](f)).To(BeFalse())
	})

	It("reattaches to a broken stream, then continues at another upstream after the tokens received", func() {
		f.arrive(1, "k", true)
		send := take[dispatch.Send](f)
		f.core.PieceReceived(send.Ref, 0, 2, "a b ", f.now)
		f.core.Failed(send.Ref, dispatch.Failure{Kind: dispatch.Broken}, f.now)
		again := take[dispatch.Reattach](f)
		Expect(again.FromToken).To(Equal(2))
		f.core.Failed(send.Ref, dispatch.Failure{Kind: dispatch.Broken}, f.now)
		Expect(has[dispatch.Send](f)).To(BeFalse())
		f.core.Failed(again.Ref, dispatch.Failure{Kind: dispatch.NotSent}, f.now)
		second := take[dispatch.Send](f)
		Expect(second.Address).NotTo(Equal(send.Address))
		Expect(second.ResumeTokens).To(Equal(2))
		Expect(second.ResumeText).To(Equal("a b "))
		f.core.PieceReceived(send.Ref, 2, 1, "late ", f.now)
		f.core.PieceReceived(second.Ref, 2, 1, "c ", f.now)
		f.core.Completed(second.Ref, dispatch.Usage{}, f.now)
		finish := take[dispatch.Finish](f)
		Expect(finish.Summary.Attempts).To(Equal(2))
		Expect(finish.Summary.Outcome()).To(Equal(request.Completed))
	})

	It("sends a non-idempotent request only when its attempt is recorded", func() {
		f.arrive(1, "k", false)
		write := take[dispatch.WriteRows](f)
		Expect(has[dispatch.Send](f)).To(BeFalse())
		Expect(has[dispatch.Accept](f)).To(BeFalse())
		f.core.RowsWritten(write.ID, write.Serial, nil, f.now)
		send := take[dispatch.Send](f)
		Expect(send.NotAfter).NotTo(BeZero())
		Expect(f.core.MaySend(send.Ref, f.now)).To(BeTrue())
	})

	It("refuses a non-idempotent request as not run while the store is unavailable", func() {
		f.arrive(1, "k", false)
		write := take[dispatch.WriteRows](f)
		f.core.RowsWritten(write.ID, write.Serial, &row.UnavailableError{Err: failedCall{}}, f.now)
		refuse := take[dispatch.Refuse](f)
		Expect(refuse.Refusal.Outcome).To(Equal(request.NotRun))
		Expect(refuse.Refusal.Reason).To(Equal(request.StoreUnavailable))
		Expect(has[dispatch.Send](f)).To(BeFalse())
	})

	It("never sends a non-idempotent request again after it may have run", func() {
		f.arrive(1, "k", false)
		write := take[dispatch.WriteRows](f)
		f.core.RowsWritten(write.ID, write.Serial, nil, f.now)
		send := take[dispatch.Send](f)
		Expect(f.core.MaySend(send.Ref, f.now)).To(BeTrue())
		f.core.Failed(send.Ref, dispatch.Failure{Kind: dispatch.Broken}, f.now)
		f.core.Failed(take[dispatch.Reattach](f).Ref, dispatch.Failure{Kind: dispatch.AttemptNotFound}, f.now)
		finish := take[dispatch.Finish](f)
		Expect(finish.Summary.Outcome()).To(Equal(request.OutcomeUnknown))
		f.arrive(2, "k", false)
		Expect(has[dispatch.Send](f)).To(BeFalse())
	})

	It("does not send when the claim has expired on the way", func() {
		f.arrive(1, "k", false)
		write := take[dispatch.WriteRows](f)
		f.core.RowsWritten(write.ID, write.Serial, nil, f.now)
		send := take[dispatch.Send](f)
		Expect(f.core.MaySend(send.Ref, f.now.Add(6*time.Second))).To(BeFalse())
		Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.NotRun))
	})

	It("tries a non-idempotent request again when the upstream says that it did not run it", func() {
		f.arrive(1, "k", false)
		write := take[dispatch.WriteRows](f)
		f.core.RowsWritten(write.ID, write.Serial, nil, f.now)
		send := take[dispatch.Send](f)
		Expect(f.core.MaySend(send.Ref, f.now)).To(BeTrue())
		f.core.Failed(send.Ref, dispatch.Failure{Kind: dispatch.RefusedByUpstream}, f.now)
		freed := take[dispatch.WriteRows](f)
		f.core.RowsWritten(freed.ID, freed.Serial, nil, f.now)
		claim := take[dispatch.WriteRows](f)
		f.core.RowsWritten(claim.ID, claim.Serial, &row.ConflictError{}, f.now)
		read := take[dispatch.ReadRow](f)
		change := freed.Transaction.Changes[0]
		f.core.RowRead(read.ID, read.Serial, row.Row{Key: read.Key, Version: change.Expect + 1, Value: change.Value}, nil, f.now)
		claim = take[dispatch.WriteRows](f)
		f.core.RowsWritten(claim.ID, claim.Serial, nil, f.now)
		second := take[dispatch.Send](f)
		Expect(second.Address).NotTo(Equal(send.Address))
	})

	It("answers each duplicate of another gateway's request from the record as it is then", func() {
		first := newFixtureAt("gateway-2")
		first.arrive(1, "k", false)
		claim := take[dispatch.WriteRows](first)
		change := claim.Transaction.Changes[0]
		first.core.RowsWritten(claim.ID, claim.Serial, nil, first.now)
		send := take[dispatch.Send](first)
		Expect(first.core.MaySend(send.Ref, first.now)).To(BeTrue())
		readClaim := func(handle dispatch.CallerHandle, found row.Row) {
			f.arrive(handle, "k", false)
			write := take[dispatch.WriteRows](f)
			f.core.RowsWritten(write.ID, write.Serial, &row.ConflictError{Key: change.Key}, f.now)
			read := take[dispatch.ReadRow](f)
			f.core.RowRead(read.ID, read.Serial, found, nil, f.now)
		}

		readClaim(2, row.Row{Key: change.Key, Version: 1, Value: change.Value})
		refuse := take[dispatch.Refuse](f)
		Expect(refuse.Handle).To(Equal(dispatch.CallerHandle(2)))
		Expect(refuse.Refusal.Outcome).To(Equal(request.OutcomeUnknown))

		first.core.PieceReceived(send.Ref, 0, 4, "four", first.now)
		first.core.Completed(send.Ref, dispatch.Usage{}, first.now)
		change = take[dispatch.WriteRows](first).Transaction.Changes[0]
		readClaim(3, row.Row{Key: change.Key, Version: 2, Value: change.Value})
		Expect(take[dispatch.Accept](f).Handle).To(Equal(dispatch.CallerHandle(3)))
		Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.Completed))
	})

	It("attaches a duplicate to the request that came first, and keeps customers apart", func() {
		f.arrive(1, "k", true)
		f.arrive(2, "k", true)
		Expect(take[dispatch.Attach](f).Handle).To(Equal(dispatch.CallerHandle(2)))
		f.core.Resume(3, request.ID{Customer: "noranbus/other", Key: "k"}, 0, f.now)
		read := take[dispatch.ReadRow](f)
		Expect(read.Key.String()).To(ContainSubstring("noranbus/other"))
		f.core.RowRead(read.ID, read.Serial, row.Row{Key: read.Key}, nil, f.now)
		Expect(take[dispatch.Refuse](f).Refusal.Reason).To(Equal(request.NotFound))
	})

	It("moves idempotent requests off an upstream that leaves before they can end", func() {
		f.arrive(1, "k", true)
		send := take[dispatch.Send](f)
		id := "e1"
		if send.Address == "10.0.0.2:1" {
			id = "e2"
		}
		leaving := fleet.Instance{ID: id, Member: "noranbus", Pool: "route-llm", Address: send.Address, State: fleet.Leaving}
		f.core.UpsertInstances([]fleet.Instance{leaving}, func(fleet.Instance) (time.Duration, bool) { return time.Second, true }, f.now.Add(time.Second))
		Expect(take[dispatch.Abort](f).Ref).To(Equal(send.Ref))
		second := take[dispatch.Send](f)
		Expect(second.Address).NotTo(Equal(send.Address))
		f.arrive(2, "new", true)
		Expect(take[dispatch.Send](f).Address).NotTo(Equal(send.Address))
	})

	It("ends a request at its deadline and forgets it after the retention", func() {
		f.arrive(1, "k", true)
		take[dispatch.Send](f)
		f.now = f.now.Add(31 * time.Second)
		f.core.Tick(f.now)
		take[dispatch.Abort](f)
		Expect(take[dispatch.Finish](f).Summary.Refusal.Reason).To(Equal(request.DeadlineUnmet))
		Expect(f.core.IsIdle()).To(BeTrue())
		f.core.Tick(f.now.Add(2 * time.Minute))
		Expect(take[dispatch.Forget](f).ID.Key).To(Equal("k"))
	})

	It("cancels an idempotent request whose caller does not return", func() {
		f.arrive(1, "k", true)
		send := take[dispatch.Send](f)
		f.core.CallersGone(send.Ref.ID, f.now)
		f.core.Tick(f.now.Add(9 * time.Second))
		Expect(has[dispatch.Abort](f)).To(BeFalse())
		f.core.Tick(f.now.Add(10 * time.Second))
		Expect(take[dispatch.Abort](f).Ref).To(Equal(send.Ref))
		Expect(take[dispatch.Finish](f).Summary.Refusal.Reason).To(Equal(request.Canceled))
	})

	It("refuses new requests while draining", func() {
		f.core.Drain()
		f.arrive(1, "k", true)
		Expect(take[dispatch.Refuse](f).Refusal.Reason).To(Equal(request.Draining))
	})

	It("needs a key for a call that runs at most once", func() {
		f.core.Arrive(dispatch.Arrival{Handle: 1, Request: request.Request{
			ID: request.ID{Customer: "noranbus/academy"}, Member: "noranbus",
			Call: &request.ServiceCall{Service: "rider-app", Method: "POST", Path: "/boardings/1"},
		}}, f.now)
		Expect(take[dispatch.Refuse](f).Refusal.Reason).To(Equal(request.BadRequest))
	})
})

var _ = Describe("Core, when an upstream leaves", func() {
	var f *fixture
	var send dispatch.Send

	leave := func() {
		id := "e1"
		if send.Address == "10.0.0.2:1" {
			id = "e2"
		}
		leaving := fleet.Instance{ID: id, Member: "noranbus", Pool: "route-llm", Address: send.Address, State: fleet.Leaving}
		f.core.UpsertInstances([]fleet.Instance{leaving}, func(fleet.Instance) (time.Duration, bool) { return time.Second, true }, f.now)
	}

	begin := func(idempotent bool) {
		f = newFixture()
		f.arrive(1, "k", idempotent)
		if !idempotent {
			write := take[dispatch.WriteRows](f)
			f.core.RowsWritten(write.ID, write.Serial, nil, f.now)
		}
		send = take[dispatch.Send](f)
		Expect(f.core.MaySend(send.Ref, f.now)).To(BeTrue())
		f.now = f.now.Add(time.Second)
		f.core.PieceReceived(send.Ref, 0, 1, "a ", f.now)
		leave()
	}

	It("continues with the KV cache, also for a non-idempotent request", func() {
		begin(false)
		export := take[dispatch.Export](f)
		f.core.Failed(send.Ref, dispatch.Failure{Kind: dispatch.Broken}, f.now)
		Expect(has[dispatch.Reattach](f)).To(BeFalse())
		f.core.Exported(export.Ref, []byte("cache"), f.now)
		imports := take[dispatch.Import](f)
		Expect(imports.Address).NotTo(Equal(send.Address))
		f.core.Imported(imports.Ref, "kv-1", f.now)
		second := take[dispatch.Send](f)
		Expect(second.KVHandle).To(Equal("kv-1"))
		Expect(second.ResumeTokens).To(Equal(1))
		Expect(f.core.MaySend(second.Ref, f.now)).To(BeTrue())
		f.core.PieceReceived(second.Ref, 1, 1, "b ", f.now)
		f.core.Completed(second.Ref, dispatch.Usage{}, f.now)
		finish := take[dispatch.Finish](f)
		Expect(finish.Summary.Outcome()).To(Equal(request.Completed))
		Expect(finish.Summary.RecomputedTokens).To(BeZero())
	})

	It("computes an idempotent request again when the export fails, and counts it", func() {
		begin(true)
		export := take[dispatch.Export](f)
		f.core.ExportFailed(export.Ref, dispatch.Failure{Kind: dispatch.NotSent}, f.now)
		Expect(take[dispatch.Abort](f).Ref).To(Equal(send.Ref))
		second := take[dispatch.Send](f)
		Expect(second.KVHandle).To(BeEmpty())
		f.core.Completed(second.Ref, dispatch.Usage{}, f.now)
		Expect(take[dispatch.Finish](f).Summary.RecomputedTokens).To(BeNumerically(">", 0))
	})

	It("leaves a non-idempotent request running when the export is refused", func() {
		begin(false)
		export := take[dispatch.Export](f)
		f.core.ExportFailed(export.Ref, dispatch.Failure{Kind: dispatch.RefusedByUpstream}, f.now)
		Expect(has[dispatch.Abort](f)).To(BeFalse())
		f.core.PieceReceived(send.Ref, 1, 1, "b ", f.now)
		f.core.Completed(send.Ref, dispatch.Usage{}, f.now)
		Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.Completed))
	})

	// Guards against telling callers that a request did not run whose first attempt has
	// given tokens: it was stopped by the export, and then found no upstream in time.
	It("does not report a request as not run that waits with its KV cache", func() {
		begin(true)
		other := "e1"
		if send.Address == "10.0.0.1:1" {
			other = "e2"
		}
		f.core.RemoveInstances([]string{other}, f.now)
		f.core.Exported(take[dispatch.Export](f).Ref, []byte("cache"), f.now)
		f.now = f.now.Add(time.Minute)
		f.core.Tick(f.now)
		Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.OutcomeUnknown))
	})

	// Guards against a second run: that an upstream refuses to continue a request with
	// its KV cache does not prove that the request has not run before.
	DescribeTable("never runs a non-idempotent request again when no upstream continues it",
		func(kind dispatch.FailureKind) {
			begin(false)
			f.core.Exported(take[dispatch.Export](f).Ref, []byte("cache"), f.now)
			for !has[dispatch.Finish](f) {
				Expect(has[dispatch.WriteRows](f)).To(BeFalse(), "the record of the request changed")
				if has[dispatch.Import](f) {
					f.core.Imported(take[dispatch.Import](f).Ref, "kv-1", f.now)
				}
				if has[dispatch.Send](f) {
					next := take[dispatch.Send](f)
					Expect(next.KVHandle).To(Equal("kv-1"))
					Expect(f.core.MaySend(next.Ref, f.now)).To(BeTrue())
					f.core.Failed(next.Ref, dispatch.Failure{Kind: kind}, f.now)
					continue
				}
				f.now = f.now.Add(time.Second)
				f.core.Tick(f.now)
			}
			Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.OutcomeUnknown))
		},
		Entry("refused", dispatch.RefusedByUpstream),
		Entry("not sent", dispatch.NotSent),
	)

	It("never runs a non-idempotent request again when its cache finds no upstream", func() {
		begin(false)
		export := take[dispatch.Export](f)
		f.core.Exported(export.Ref, []byte("cache"), f.now)
		// A failed replica is avoided for a while, so time must pass between the
		// tries. The deadline ends the loop at the latest.
		for !has[dispatch.Finish](f) {
			Expect(has[dispatch.Send](f)).To(BeFalse())
			if has[dispatch.Import](f) {
				f.core.ImportFailed(take[dispatch.Import](f).Ref, dispatch.Failure{Kind: dispatch.Broken}, f.now)
			}
			f.now = f.now.Add(time.Second)
			f.core.Tick(f.now)
		}
		Expect(take[dispatch.Finish](f).Summary.Outcome()).To(Equal(request.OutcomeUnknown))
	})
})
