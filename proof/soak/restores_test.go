package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/faults"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

const (
	// restoresTime is how long outages begin. The last one and its drills take longer.
	restoresTime = 9 * time.Second
	// leaseWatch is how often a candidate reads the lease, and usageSettle how long after
	// its end a usage window is reported; both are those of the gateway.
	leaseWatch  = time.Second
	usageSettle = 4500 * time.Millisecond
	// dutiesSlack is for calls and threads.
	dutiesSlack = 2 * time.Second
	// dutiesTime is the time from the end of a fault to the next report.
	dutiesTime = world.LeaseTTL + leaseWatch + usageSettle + world.UsageWindow + dutiesSlack
)

// Guards against two holders of one fencing number, two counts of one usage window, and
// duties that nobody does after the store was restored to before a takeover.
var _ = Describe("A soak of restores", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("does the duties once while the store is restored, seed %d", seed), func() {
			expectNothing("soak-restores", seed, restores)
		})
	}
})

// restores plays one seed and returns what was broken.
func restores(seed uint64, directory string) []judge.Violation {
	w, err := world.Open(world.Config{
		Program: programs.Path(process.Daemon), Directory: directory, Seed: seed, Gateways: 4, Upstreams: 3, TellsEra: true,
	})
	defer func() { Expect(w.Close()).To(Succeed()) }()
	Expect(err).NotTo(HaveOccurred())
	steps, err := os.Create(filepath.Join(directory, "steps.log"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = steps.Close() }()

	group := load.Start(loadOf(w, seed))
	found := standstill(faults.NewDrills(w, seed, dutiesTime, zerolog.New(steps)).Run(restoresTime))
	if len(found) == 0 {
		found = awaitDuties(w)
	}
	records, err := group.Stop()
	Expect(err).NotTo(HaveOccurred())
	reports, err := w.Reports()
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Printf("%d requests, %d reports\n", len(records), len(reports))
	found = append(found, judge.Reports(reports)...)
	if n := w.Strays(); n > 0 {
		found = append(found, judge.Violation{Rule: judge.StaysUp, Detail: fmt.Sprintf("%d processes", n)})
	}
	return found
}

// standstill returns the violation that ended the drills, if one did.
func standstill(err error) []judge.Violation {
	var still *faults.StandstillError
	if errors.As(err, &still) {
		return []judge.Violation{{Rule: judge.DutiesGoOn, Detail: still.Error()}}
	}
	Expect(err).NotTo(HaveOccurred())
	return nil
}

// awaitDuties waits until a window is reported that has ended since now, as long as that
// may take, and returns the violation if none was.
func awaitDuties(w *world.World) []judge.Violation {
	window := time.Now().UnixNano() / int64(world.UsageWindow)
	for until := time.Now().Add(dutiesTime); ; world.Pause(100 * time.Millisecond) {
		reports, err := w.Reports()
		Expect(err).NotTo(HaveOccurred())
		found := judge.Duties(reports, window)
		if len(found) == 0 || time.Now().After(until) {
			return found
		}
	}
}
