package confirm_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

func TestConfirm(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confirm")
}

// noResponse is the cause of the errors of the table service in these tests.
type noResponse struct{}

func (noResponse) Error() string { return "response lost" }

var (
	unknown     = &row.UnknownError{Err: noResponse{}}
	unavailable = &row.UnavailableError{Err: noResponse{}}
	planKey     = row.Key{Partition: "plans", Sort: "p"}
)

// table is a table service in memory.
type table map[row.Key]row.Row

func (t table) apply(tx row.Transaction) error {
	for _, c := range tx.Changes {
		if t[c.Key].Version != c.Expect {
			return &row.ConflictError{Key: c.Key}
		}
	}
	for _, c := range tx.Changes {
		t[c.Key] = row.Row{Key: c.Key, Version: c.Expect + 1, Value: c.Value}
	}
	return nil
}

func (t table) runSteps(c *confirm.Confirmation, step confirm.Step) confirm.Step {
	for {
		switch s := step.(type) {
		case confirm.Write:
			step = c.Written(t.apply(s.Transaction))
		case confirm.Read:
			step = c.ReadResult(t[s.Key], nil)
		default:
			return step
		}
	}
}

func (t table) confirm(p confirm.Proposal) confirm.Step {
	c := confirm.NewConfirmation(p)
	return t.runSteps(c, c.Begin())
}

func propose(id string, base uint64) confirm.Proposal {
	return confirm.Proposal{Chain: "test", PlanID: id, Base: base, Value: []byte(id)}
}

var _ = Describe("Confirmation", func() {
	var t table
	BeforeEach(func() { t = table{} })

	It("confirms one of two plans against the same base and names the winner", func() {
		Expect(t.confirm(propose("a", 0))).To(HaveField("Configuration.Version", uint64(1)))
		rejected := t.confirm(propose("b", 0))
		Expect(rejected).To(HaveField("Err", BeAssignableToTypeOf(&confirm.ConflictError{})))
		Expect(rejected).To(HaveField("Err.Head.PlanID", "a"))
	})

	It("gives the same result however often and late a plan is confirmed", func() {
		first := t.confirm(propose("a", 0))
		Expect(t.confirm(propose("b", 1))).To(HaveField("Configuration.Version", uint64(2)))
		Expect(t.confirm(propose("a", 0))).To(Equal(first))
		Expect(t).To(HaveLen(3))
	})

	It("reads back after a lost response, whether or not the write was applied", func() {
		c := confirm.NewConfirmation(propose("a", 0))
		Expect(t.apply(c.Begin().(confirm.Write).Transaction)).To(Succeed())
		Expect(t.runSteps(c, c.Written(unknown))).To(HaveField("Configuration.Version", uint64(1)))
		d := confirm.NewConfirmation(propose("b", 1))
		d.Begin()
		Expect(t.runSteps(d, d.Written(unknown))).To(HaveField("Configuration.Version", uint64(2)))
	})

	It("reports a plan as not confirmed only if no try can take effect later", func() {
		c := confirm.NewConfirmation(propose("a", 0))
		c.Begin()
		Expect(c.Written(unavailable)).To(HaveField("Err", BeAssignableToTypeOf(&confirm.UnavailableError{})))
		d := confirm.NewConfirmation(propose("a", 0))
		d.Begin()
		d.Written(unknown)
		Expect(d.ReadResult(row.Row{}, unavailable)).To(HaveField("Err", BeAssignableToTypeOf(&confirm.UnknownError{})))
	})

	It("changes the plan's row with the head or not at all", func() {
		p := propose("a", 0)
		p.ExtraChanges = []row.Change{{Key: planKey, Expect: 1, Value: []byte("confirmed")}}
		Expect(t.confirm(p)).To(HaveField("Err", BeAssignableToTypeOf(&confirm.StaleChangeError{})))
		Expect(t).To(BeEmpty())
		p.ExtraChanges[0].Expect = 0
		Expect(t.confirm(p)).To(HaveField("Configuration.Version", uint64(1)))
		Expect(t[planKey].Version).To(Equal(uint64(1)))
	})

	It("rejects a plan against a version that does not exist yet", func() {
		Expect(t.confirm(propose("a", 4))).To(HaveField("Err", BeAssignableToTypeOf(&confirm.ConflictError{})))
	})

	It("keeps one chain despite racing operators and lost responses", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := table{}
			var delayed []row.Transaction
			confirmed := map[string]uint64{}
			for i := range rapid.IntRange(1, 12).Draw(rt, "plans") {
				base := uint64(rapid.IntRange(0, i).Draw(rt, "base"))
				id := fmt.Sprintf("p%d", rapid.IntRange(0, i).Draw(rt, "plan"))
				c := confirm.NewConfirmation(propose(id+fmt.Sprint("-", base), base))
				step := c.Begin()
				for step != nil {
					switch s := step.(type) {
					case confirm.Write:
						switch rapid.IntRange(0, 3).Draw(rt, "fault") {
						case 0:
							step = c.Written(t.apply(s.Transaction))
						case 1:
							_ = t.apply(s.Transaction)
							step = c.Written(unknown)
						case 2:
							delayed = append(delayed, s.Transaction)
							step = c.Written(unknown)
						case 3:
							step = c.Written(unavailable)
						}
					case confirm.Read:
						if len(delayed) > 0 && rapid.Bool().Draw(rt, "lands") {
							_ = t.apply(delayed[0])
							delayed = delayed[1:]
						}
						step = c.ReadResult(t[s.Key], nil)
					case confirm.Confirmed:
						confirmed[s.Configuration.PlanID] = s.Configuration.Version
						step = nil
					case confirm.Rejected:
						step = nil
					}
				}
			}
			for id, version := range confirmed {
				stored, err := confirm.DecodeConfiguration(t[confirm.Chain("test").VersionKey(version)])
				NewWithT(rt).Expect(err).NotTo(HaveOccurred())
				NewWithT(rt).Expect(stored.PlanID).To(Equal(id))
			}
		})
	})
})

var _ = Describe("Follower", func() {
	version := func(n uint64, id string) confirm.Configuration {
		t := table{}
		for i := range n - 1 {
			t.confirm(propose(fmt.Sprint("p", i), i))
		}
		return t.confirm(propose(id, n-1)).(confirm.Confirmed).Configuration
	}

	It("never reverts, in any order of offers", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			var f confirm.Follower
			for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(rt, "versions") {
				before := f.Current().Version
				_, err := f.Offer(version(n, "x"))
				NewWithT(rt).Expect(err).NotTo(HaveOccurred())
				NewWithT(rt).Expect(f.Current().Version).To(Equal(max(before, n)))
			}
		})
	})

	It("rejects corrupt and diverging configurations", func() {
		var f confirm.Follower
		_, err := f.Offer(version(3, "x"))
		Expect(err).NotTo(HaveOccurred())
		damaged := version(4, "x")
		damaged.Version++
		_, err = f.Offer(damaged)
		Expect(err).To(BeAssignableToTypeOf(&confirm.InvalidError{}))
		_, err = f.Offer(version(3, "y"))
		Expect(err).To(BeAssignableToTypeOf(&confirm.DivergedError{}))
		Expect(f.Current().PlanID).To(Equal("x"))
	})

	It("starts from the highest of several peers if the table service does not answer", func() {
		b := confirm.NewBootstrap(2, 100)
		Expect(b.OfferFromPeer("a", version(2, "x"))).To(Succeed())
		Expect(b.OfferFromPeer("b", confirm.Configuration{})).To(Succeed())
		_, ok := b.Ready(99)
		Expect(ok).To(BeFalse())
		late, ok := b.Ready(100)
		Expect(ok).To(BeTrue())
		Expect(late.Current().Version).To(Equal(uint64(2)))
		Expect(b.OfferFromPeer("c", version(3, "x"))).To(Succeed())
		f, ok := b.Ready(99)
		Expect(ok).To(BeTrue())
		Expect(f.Current().Version).To(Equal(uint64(3)))
	})

	It("waits without any answer, but starts from an empty chain in the table service", func() {
		b := confirm.NewBootstrap(2, 100)
		_, ok := b.Ready(200)
		Expect(ok).To(BeFalse())
		Expect(b.OfferStored(confirm.Configuration{})).To(Succeed())
		_, ok = b.Ready(0)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("Tracker", func() {
	It("reports which live processes do not have the version", func() {
		a, b := confirm.Process{Instance: "a", Incarnation: 1}, confirm.Process{Instance: "b", Incarnation: 1}
		t := confirm.NewTracker()
		t.SetLive([]confirm.Process{b, a})
		rollout := confirm.Rollout{Version: 5, Deadline: 100}
		Expect(t.Report(a, 5)).To(BeTrue())
		Expect(t.Report(a, 4)).To(BeTrue())
		Expect(rollout.Status(t, 99)).To(Equal(confirm.RolloutStatus{Missing: []confirm.Process{b}}))
		Expect(rollout.Status(t, 100)).To(HaveField("Done", true))
		Expect(t.LowestVersion()).To(Equal(uint64(0)))
		b.Incarnation++
		t.SetLive([]confirm.Process{b, a})
		Expect(t.Behind(5)).To(Equal([]confirm.Process{b}))
		t.Report(b, 6)
		Expect(rollout.Status(t, 99)).To(HaveField("InForce", true))
		Expect(t.LowestVersion()).To(Equal(uint64(5)))
	})
})
