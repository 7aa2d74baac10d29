package soak_test

import (
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/faults"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

// departureDrills is the number of restores of a seed.
const departureDrills = 2

// Guards against requests to upstreams that have left, and none to new ones, after the store
// was restored from an older copy (DRAIN).
var _ = Describe("A soak of departures", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("follows the upstreams while the store is restored, seed %d", seed), func() {
			expectNothing("soak-departures", seed, departures)
		})
	}
})

// departures plays one seed and returns what was broken.
func departures(seed uint64, directory string) []judge.Violation {
	gateways := 4
	if seed%3 == 0 {
		// Some follow the store for the others.
		gateways = hubGateways
	}
	w, err := world.Open(world.Config{
		Program: programs.Path(process.Daemon), Directory: directory, Seed: seed, Gateways: gateways, Upstreams: 3,
		TellsEra: true, TellsStart: seed%2 == 1,
	})
	defer func() { Expect(w.Close()).To(Succeed()) }()
	Expect(err).NotTo(HaveOccurred())
	steps, err := os.Create(filepath.Join(directory, "steps.log"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = steps.Close() }()

	group := load.Start(loadOf(w, seed))
	driver := faults.NewDepartures(w, seed, zerolog.New(steps).With().Timestamp().Logger())
	Expect(driver.Run(departureDrills)).To(Succeed())
	records, err := group.Stop()
	Expect(err).NotTo(HaveOccurred())
	var found []judge.Violation
	Expect(driver.Each(func(u *world.Upstream, d judge.Departure) error {
		runs, err := w.RunsOf(u)
		found = append(found, judge.Departures(d, driver.Excuses(), records, runs)...)
		return err
	})).To(Succeed())
	GinkgoWriter.Printf("%d requests\n", len(records))
	if n := w.Strays(); n > 0 {
		found = append(found, judge.Violation{Rule: judge.StaysUp, Detail: fmt.Sprintf("%d processes", n)})
	}
	return found
}
