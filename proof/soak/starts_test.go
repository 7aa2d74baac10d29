package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/faults"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

// Guards against a gateway that starts around a drill and serves by an older configuration than
// the others use, or nothing, until the operator has written again (review/13).
var _ = Describe("A soak of starts", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("a dropped key stays out of use while the store is restored, seed %d", seed), func() {
			expectNothing("soak-starts", seed, starts)
		})
	}
})

// starts plays one seed and returns what was broken.
func starts(seed uint64, directory string) (found []judge.Violation) {
	w, err := world.Open(world.Config{
		Program: programs.Path(process.Daemon), Directory: directory, Seed: seed, Gateways: 4, Upstreams: 1, TellsEra: true,
	})
	defer func() { Expect(w.Close()).To(Succeed()) }()
	Expect(err).NotTo(HaveOccurred())
	steps, err := os.Create(filepath.Join(directory, "steps.log"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = steps.Close() }()
	w.SetCredentials(world.Credential, droppedKey)
	Expect(w.Configure()).To(Succeed())
	world.Pause(inForceTime)

	driver := faults.NewStarts(w, seed, zerolog.New(steps).With().Timestamp().Logger())
	end := time.Now().Add(driver.Length())
	var threads []*thread.Thread
	probes := make(map[string]*keyProbe)
	for _, g := range w.Gateways {
		for _, key := range []string{droppedKey, world.Credential} {
			p := &keyProbe{gateway: g, seed: seed, key: key}
			probes[g.Name+key] = p
			threads = append(threads, thread.Start("probe", func() error { return p.run(end) }))
		}
	}
	w.SetCredentials(world.Credential)
	Expect(driver.Run(w.Configure)).To(Succeed())
	for _, t := range threads {
		Expect(t.Join()).To(Succeed())
	}
	for _, g := range w.Gateways {
		from, to := driver.Judged(g)
		if n := probes[g.Name+droppedKey].count(from, to); n > 0 && !driver.AllAnew() {
			found = append(found, judge.Violation{Rule: judge.InForce, Detail: fmt.Sprintf("%s served a dropped key %d times", g.Name, n)})
		}
		if probes[g.Name+world.Credential].count(from, to) == 0 {
			found = append(found, judge.Violation{Rule: judge.Recovers, Detail: g.Name + " served nothing"})
		}
	}
	return found
}
