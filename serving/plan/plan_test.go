package plan_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

func example(member string) *intent.Document {
	text, err := os.ReadFile("../../docs/examples/" + member + ".json")
	Expect(err).NotTo(HaveOccurred())
	d := &intent.Document{}
	Expect(json.Unmarshal(text, d)).To(Succeed())
	Expect(intent.Check(d)).To(Succeed())
	return d
}

var _ = Describe("Make", func() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var in plan.Input

	BeforeEach(func() {
		in = plan.Input{Document: example("noranbus"), Head: &intent.Configuration{}, TotalMicrosPerHour: 27_000_000, Now: now, Lifetime: time.Hour}
		for _, member := range []string{"noranbus", "cooperative"} {
			for _, p := range example(member).Pools {
				for _, domain := range p.FailureDomains {
					for _, class := range p.MachineClasses {
						in.Prices = append(in.Prices,
							price.Offer{FailureDomain: domain, MachineClass: class, Reclaimable: true, MicrosPerHour: 400_000},
							price.Offer{FailureDomain: domain, MachineClass: class, MicrosPerHour: 1_000_000})
					}
				}
			}
		}
	})

	confirm := func(p *plan.Plan) {
		Expect(plan.CheckConfirm(p, in.Head, now)).To(Succeed())
		in.Head = plan.Apply(p, in.Head)
	}

	It("lists the changes, and none once the instances run", func() {
		first, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Changes).To(ContainElement(plan.Change{Subject: plan.Models, Name: "route-llm", To: "version 1"}))
		Expect(first.Changes).To(ContainElement(plan.Change{
			Subject: plan.Instances, Name: "rider-app in seoul-a, general, reclaimable", From: "0", To: "1"}))
		confirm(first)
		for _, p := range first.Pools {
			for _, g := range p.Groups {
				for range g.Count {
					in.Fleet = append(in.Fleet, fleet.Instance{
						Member: "noranbus", Pool: p.Pool, State: fleet.Live, FailureDomain: g.FailureDomain,
						MachineClass: g.MachineClass, Reclaimable: g.Reclaimable})
				}
			}
		}
		second, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Changes).To(BeEmpty())
		in.Document = example("noranbus")
		in.Document.Pools[0].Replicas = 10
		in.Document.Customers[0].Share = 50
		third, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Changes).To(ConsistOf(
			HaveField("Name", "pool route-llm"), HaveField("Name", "customer district-dispatch"),
			// Of 10 replicas 7 must be left when a domain is lost, so 11 are placed.
			HaveField("Subject", plan.Instances), HaveField("Subject", plan.Instances)))
	})

	It("adds up the cost of all members", func() {
		p, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		confirm(p)
		in.Document = example("cooperative")
		p, err = plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Costs).To(HaveLen(2))
		// 12 engines and 3 services of the Cooperative, 9 and 3 of Noranbus.
		Expect(p.Costs[0].MicrosPerHour).To(BeEquivalentTo(12*400_000 + 2*400_000 + 1_000_000))
		Expect(p.Costs[1].MicrosPerHour).To(BeEquivalentTo(6*400_000 + 3*1_000_000 + 2*400_000 + 1_000_000))
		Expect(p.MicrosPerHour()).To(Equal(p.Costs[0].MicrosPerHour + p.Costs[1].MicrosPerHour))
	})

	It("refuses slices that add up to more than the total", func() {
		in.TotalMicrosPerHour = 17_999_999
		p, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.CheckConfirm(p, in.Head, now)).To(BeAssignableToTypeOf(&plan.OverBudgetError{}))
	})

	It("keeps its digest over encoding", func() {
		p, err := plan.Make(in)
		Expect(err).NotTo(HaveOccurred())
		text, err := json.Marshal(p)
		Expect(err).NotTo(HaveOccurred())
		decoded := &plan.Plan{}
		Expect(json.Unmarshal(text, decoded)).To(Succeed())
		Expect(plan.CheckConfirm(decoded, in.Head, now)).To(Succeed())
		decoded.Costs[0].MicrosPerHour--
		Expect(plan.CheckConfirm(decoded, in.Head, now)).To(BeAssignableToTypeOf(&plan.AlteredError{}))
	})

	It("needs prices", func() {
		in.Prices = nil
		_, err := plan.Make(in)
		Expect(err).To(BeAssignableToTypeOf(&plan.NoPricesError{}))
	})
})
