package concurrent_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/check"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/fetch"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/schedule"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

// defaultSeeds is the number of seeds where SYCAMORE_SEEDS names none.
const defaultSeeds = 3

func TestConcurrent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "concurrent")
}

func seeds() int {
	n, err := strconv.Atoi(os.Getenv("SYCAMORE_SEEDS"))
	if err != nil || n < 1 {
		return defaultSeeds
	}
	return n
}

func customers() []callers.Customer {
	return []callers.Customer{
		{Name: bed.Member + "/academy", Credential: bed.Credential},
		{Name: bed.Member + "/elementary", Credential: bed.OtherCredential},
	}
}

func load(seed uint64, gateways []string) callers.Config {
	return callers.Config{
		Name:        fmt.Sprintf("seed%d", seed),
		Gateways:    gateways,
		Customers:   customers(),
		Count:       16,
		Seed:        seed,
		Model:       bed.ModelName,
		Service:     bed.ServiceName,
		Deadline:    8 * time.Second,
		Requests:    40,
		SharedEvery: 4,
		HastyEvery:  7,
		MaxTries:    1,
	}
}

func open(config bed.Config) *bed.Bed {
	b, err := bed.Open(config)
	Expect(err).NotTo(HaveOccurred())
	return b
}

func engines(b *bed.Bed) []string {
	var list []string
	for _, e := range b.Engines {
		list = append(list, e.Address())
	}
	return list
}

func readRuns(b *bed.Bed) *witness.Runs {
	client, err := fetch.Open()
	Expect(err).NotTo(HaveOccurred())
	runs, err := witness.Read(client, append(engines(b), b.Service.Address()))
	Expect(err).NotTo(HaveOccurred())
	Expect(client.Close()).To(Succeed())
	Expect(runs.Missing).To(BeEmpty())
	return runs
}

var _ = Describe("A history of concurrent callers", func() {
	for i := range seeds() {
		seed := uint64(i + 1)
		It(fmt.Sprintf("keeps to all rules while stand-ins fail, seed %d", seed), func() {
			b := open(bed.Config{Engines: 3, Gateways: 3, MaxRequests: 4096, Retention: time.Minute, Engine: engine.Config{TokenTime: time.Millisecond}})
			faults := schedule.Start(schedule.Config{
				Seed: seed, Table: b.Table.Address(), Upstreams: append(engines(b), b.Service.Address()), Steps: 30,
			})
			records, err := callers.Start(load(seed, b.Seeds())).Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(faults.Wait()).To(Succeed())
			runs := readRuns(b)
			GinkgoWriter.Println(summary(records, runs))
			allowed := check.Allowed{Refused: true, Unknown: true, UnknownIdempotent: true}
			Expect(check.History(records, runs, allowed)).To(BeEmpty())
			Expect(b.Close()).To(Succeed())
		})
	}

	It("completes every request while nothing fails", func() {
		b := open(bed.Config{Engines: 3, Gateways: 3, MaxRequests: 4096, Retention: time.Minute, Engine: engine.Config{TokenTime: time.Millisecond}})
		records, err := callers.Start(load(100, b.Seeds())).Wait()
		Expect(err).NotTo(HaveOccurred())
		runs := readRuns(b)
		GinkgoWriter.Println(summary(records, runs))
		Expect(check.History(records, runs, check.Allowed{Unknown: true})).To(BeEmpty())
		Expect(b.Close()).To(Succeed())
	})

	It("cuts and refuses nothing while gateways stop one after another", func() {
		b := open(bed.Config{
			Engines: 3, Gateways: 4, MaxRequests: 4096, Retention: time.Minute,
			// Longer than callers keep an address, as the settings demand.
			LeaveDelay: 1500 * time.Millisecond, Engine: engine.Config{TokenTime: time.Millisecond},
		})
		config := load(300, b.Seeds())
		config.SharedEvery = 0
		config.HastyEvery = 0
		config.MaxTries = 0
		config.Requests = 0
		group := callers.Start(config)
		pause := ring.New[bool]("pause", 1)
		for i := range b.Gateways[:3] {
			_, _, _ = pause.TakeUntil(300 * time.Millisecond)
			for _, other := range b.Gateways[i:] {
				Expect(other.Apply(gateway.Update{Gateways: b.Addresses()[i+1:]})).To(Succeed())
			}
			Expect(b.StopGateway(i)).To(Succeed())
		}
		_, _, _ = pause.TakeUntil(300 * time.Millisecond)
		records, err := group.Stop()
		Expect(err).NotTo(HaveOccurred())
		runs := readRuns(b)
		GinkgoWriter.Println(summary(records, runs))
		Expect(check.History(records, runs, check.Allowed{})).To(BeEmpty())
		Expect(b.Close()).To(Succeed())
	})

	It("breaks the rule of at most once when gateways do not share the record of attempts", func() {
		b := open(bed.Config{Engines: 3, Gateways: 1, Engine: engine.Config{TokenTime: time.Millisecond}})
		// This bed's gateway routes to the upstreams of the other one, but records
		// attempts in its own table service.
		apart := open(bed.Config{Engines: 3, Gateways: 1, Engine: engine.Config{TokenTime: time.Millisecond}})
		Expect(apart.Apply(gateway.Update{Upserts: b.Instances(), Gateways: append(b.Addresses(), apart.Addresses()...)})).To(Succeed())
		Expect(b.Apply(gateway.Update{Gateways: append(b.Addresses(), apart.Addresses()...)})).To(Succeed())
		config := load(200, append(b.Seeds(), apart.Seeds()...))
		config.Kinds = []callers.Kind{callers.Once}
		config.SharedEvery = 1
		records, err := callers.Start(config).Wait()
		Expect(err).NotTo(HaveOccurred())
		found := check.History(records, readRuns(b), check.Allowed{Unknown: true})
		Expect(found).To(ContainElement(HaveField("Rule", check.AtMostOnce)))
		Expect(found).To(ContainElement(HaveField("Rule", check.Linearizable)))
		Expect(apart.Close()).To(Succeed())
		Expect(b.Close()).To(Succeed())
	})
})

// summary counts the outcomes of a history.
func summary(records []callers.Record, runs *witness.Runs) string {
	counts := make(map[callers.Outcome]int)
	for _, r := range records {
		counts[r.Outcome]++
	}
	return fmt.Sprintf("%d submissions: %d completed, %d not run, %d unknown; %d runs",
		len(records), counts[callers.Completed], counts[callers.NotRun], counts[callers.Unknown], runs.Total())
}
