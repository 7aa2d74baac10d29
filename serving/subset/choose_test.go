package subset_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/subset"
)

func TestSubset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subset")
}

const (
	replicas = 900
	domains  = 10
	gateways = 190
	count    = 60
)

func instances() []fleet.Instance {
	var list []fleet.Instance
	for i := range replicas {
		list = append(list, fleet.Instance{ID: fmt.Sprintf("i-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)})
	}
	return list
}

var _ = Describe("Choose", func() {
	It("returns all instances when there are fewer than count", func() {
		Expect(subset.Choose("g", instances()[:5], count)).To(HaveLen(5))
	})

	It("balances over the failure domains and uses all instances about equally", func() {
		list := instances()
		picks := make(map[string]int)
		for g := range gateways {
			perDomain := make(map[string]int)
			for _, id := range subset.Choose(fmt.Sprintf("gateway-%d", g), list, count) {
				picks[id]++
				perDomain[list[slices.IndexFunc(list, func(i fleet.Instance) bool { return i.ID == id })].FailureDomain]++
			}
			Expect(perDomain).To(HaveLen(domains))
			for _, n := range perDomain {
				Expect(n).To(Equal(count / domains))
			}
		}
		mean := float64(gateways) * count / replicas
		Expect(picks).To(HaveLen(replicas))
		for _, n := range picks {
			Expect(float64(n)).To(BeNumerically("<", 3*mean))
		}
	})

	It("changes at most one choice when an instance is removed", func() {
		list := instances()
		before := subset.Choose("g", list, count)
		for i := range 50 {
			after := subset.Choose("g", slices.Delete(slices.Clone(list), i, i+1), count)
			changed := 0
			for _, id := range after {
				if !slices.Contains(before, id) {
					changed++
				}
			}
			Expect(changed).To(BeNumerically("<=", 1))
		}
	})
})

func BenchmarkChoose900(b *testing.B) {
	list := instances()
	b.ReportAllocs()
	for range b.N {
		subset.Choose("g", list, count)
	}
}
