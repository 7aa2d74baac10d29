package controller

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

func example(member string) *intent.Document {
	text, err := os.ReadFile("../../docs/examples/" + member + ".json")
	Expect(err).NotTo(HaveOccurred())
	d := &intent.Document{}
	Expect(json.Unmarshal(text, d)).To(Succeed())
	Expect(intent.Check(d)).To(Succeed())
	return d
}

func offers(d *intent.Document) price.List {
	var list price.List
	for _, p := range d.Pools {
		for _, domain := range p.FailureDomains {
			for _, class := range p.MachineClasses {
				list = append(list,
					price.Offer{FailureDomain: domain, MachineClass: class, Reclaimable: true, MicrosPerHour: 300_000},
					price.Offer{FailureDomain: domain, MachineClass: class, MicrosPerHour: 800_000})
			}
		}
	}
	return list
}

// silentEngines implements Engines and never calls done.
type silentEngines struct{}

func (silentEngines) State(string, func(*order.State, error)) {}

func (silentEngines) Order(string, uint64, order.DesiredState, func(*order.State, error)) {}

// plannerHasPrices reports whether the planner has received prices.
func (c *Controller) plannerHasPrices() bool {
	reply := ring.New[report.Section]("reply", 1)
	if c.planner.inbox.Offer(plannerEvent{dump: reply}) != nil {
		return false
	}
	section, ok, _ := reply.TakeUntil(time.Second)
	return ok && section.State.(plannerDump).Prices > 0
}

func code(err error) operator.Code {
	return operator.ProblemOf(err).Code
}

var _ = Describe("Controller", func() {
	var (
		table   *memoryTable
		members []*intent.Document
		start   func() (*Controller, *thread.Thread)
		connect func(all ...*Controller) *operator.Client
	)

	BeforeEach(func() {
		table = newMemoryTable()
		table.faultFilter = func(tx row.Transaction) bool { return tx.Changes[0].Key == configurationChain.HeadKey() }
		members = []*intent.Document{example("noranbus"), example("cooperative")}
		start = func() (*Controller, *thread.Thread) {
			s := &Settings{
				Instance: "entry-1", FailureDomain: "seoul-a", AdminAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0",
				AgreedMicrosPerHour: 27_000_000, PlanLifetime: time.Hour, DrainTimeout: 5 * time.Second,
			}
			s.FleetInterval = 10 * time.Millisecond
			cloud := newMemoryCloud(append(offers(members[0]), offers(members[1])...))
			c := New(s, zerolog.Nop(), Platform{Table: table, Cloud: cloud, Engines: silentEngines{}}, "test")
			Expect(c.Open()).To(Succeed())
			t := thread.Start("controller", c.Run)
			Eventually(c.plannerHasPrices).Should(BeTrue())
			DeferCleanup(func() {
				c.Stop()
				Expect(t.Join()).To(Succeed())
			})
			return c, t
		}
		connect = func(all ...*Controller) *operator.Client {
			var addresses []string
			for _, c := range all {
				addresses = append(addresses, c.OperatorsAddress())
			}
			client, err := operator.Open(addresses, 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			return client
		}
	})

	It("confirms a plan once across repeated requests and reports who confirmed it", func() {
		c, _ := start()
		client := connect(c)
		p, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		head, err := client.Intent()
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Configuration.Version).To(BeZero())
		first, err := client.Confirm(p.ID, "mina", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Version).To(BeEquivalentTo(1))
		Expect(first.AllReported).To(BeTrue())
		again, err := client.Confirm(p.ID, "jun", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Confirmation).To(Equal(first.Confirmation))
		head, err = client.Intent()
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Confirmation.By).To(Equal("mina"))
		Expect(head.Configuration.Documents).To(Equal([]intent.Document{*members[0]}))
		plans, err := client.Plans()
		Expect(err).NotTo(HaveOccurred())
		Expect(plans.Plans).To(HaveLen(1))
	})

	It("confirms once when responses of the table service are lost", func() {
		c, _ := start()
		client := connect(c)
		p, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		table.failNext(lostBefore, lostAfter)
		done, err := client.Confirm(p.ID, "mina", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(done.Version).To(BeEquivalentTo(1))
		Expect(table.row(configurationChain.HeadKey()).Version).To(BeEquivalentTo(1))
	})

	It("reports an unknown outcome and resolves it on retry", func() {
		c, _ := start()
		client := connect(c)
		p, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		// The client repeats a confirmation of unknown outcome 3 times, and the
		// controller retries each write 3 times: 16 faults outlast them all.
		faults := make([]fault, 16)
		for i := range faults {
			faults[i] = lostBefore
		}
		table.failNext(faults...)
		_, err = client.Confirm(p.ID, "mina", time.Second)
		Expect(code(err)).To(Equal(operator.OutcomeUnknown))
		table.failNext()
		_, err = client.Confirm(p.ID, "mina", time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("confirms one of two concurrent plans and reports to the other operator what changed", func() {
		a, _ := start()
		b, _ := start()
		clients := []*operator.Client{connect(a), connect(b)}
		errs := ring.New[error]("errors", 2)
		var threads []*thread.Thread
		var plans []*plan.Plan
		for i, client := range clients {
			p, err := client.Plan(members[i])
			Expect(err).NotTo(HaveOccurred())
			plans = append(plans, p)
		}
		for i, client := range clients {
			threads = append(threads, thread.Start("operator", func() error {
				_, err := client.Confirm(plans[i].ID, members[i].Member, time.Second)
				return errs.Offer(err)
			}))
		}
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
		first, _ := errs.Take()
		second, _ := errs.Take()
		if first == nil {
			first, second = second, first
		}
		Expect(second).NotTo(HaveOccurred())
		problem := operator.ProblemOf(first)
		Expect(problem.Code).To(Equal(operator.Stale))
		Expect(problem.Status).To(Equal(http.StatusConflict))
		Expect(problem.Changed).NotTo(BeEmpty())
	})

	It("rejects plans that were altered, have expired or exceed the budget", func() {
		c, _ := start()
		client := connect(c)
		members[1].Budget.MicrosPerHour = 1
		overBudget, err := client.Plan(members[1])
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Confirm(overBudget.ID, "mina", 0)
		Expect(code(err)).To(Equal(operator.OverBudget))

		p, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		record := plan.Record{Plan: *p}
		record.Plan.Document.Budget.MicrosPerHour++
		value, err := json.Marshal(record)
		Expect(err).NotTo(HaveOccurred())
		table.locked(func() {
			r := table.rows[planKey(p.ID)]
			r.Value = value
			table.rows[planKey(p.ID)] = r
		})
		_, err = client.Confirm(p.ID, "mina", 0)
		Expect(code(err)).To(Equal(operator.Altered))

		c.settings.PlanLifetime = -time.Second
		expired, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Confirm(expired.ID, "mina", 0)
		Expect(code(err)).To(Equal(operator.Expired))
		_, err = client.Confirm("20260101-0123456789abcdef01234567", "mina", 0)
		Expect(code(err)).To(Equal(operator.NotFound))
	})

	It("fails over to the next controller when one has stopped", func() {
		a, ended := start()
		b, _ := start()
		client := connect(a, b)
		p, err := client.Plan(members[0])
		Expect(err).NotTo(HaveOccurred())
		a.Stop()
		Expect(ended.Join()).To(Succeed())
		_, err = client.Confirm(p.ID, "mina", time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports all violations of an intent with their paths", func() {
		c, _ := start()
		members[0].Pools[0].Replicas = 0
		members[0].Customers[1].Share = 0
		_, err := connect(c).Plan(members[0])
		Expect(operator.ProblemOf(err).Faults).To(ConsistOf(
			HaveField("Path", "pools[0].replicas"), HaveField("Path", "customers[1].share")))
	})
})
