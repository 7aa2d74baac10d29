package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/faults"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

const (
	// defaultSeconds is how long faults come where SYCAMORE_SOAK_SECONDS is unset.
	defaultSeconds = 8
	// quiet is the time from the last fault to the requests that must be served.
	quiet = 3 * time.Second
	// tail is how long those come.
	tail = 2 * time.Second
)

// programs are built once.
var programs *process.Programs

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	netlog.Install(zerolog.Nop())
	directory, err := os.MkdirTemp("", "soak-programs")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if programs, err = process.Build(directory); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "soak")
	if err := printFindings(os.Stdout); err != nil {
		t.Error(err)
	}
}

// setting is a number from the environment.
func setting(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil || n < 1 {
		return otherwise
	}
	return n
}

// seeds are those of the environment: SYCAMORE_SOAK_SEEDS of them, from
// SYCAMORE_SOAK_FIRST on; else those that once failed.
func seeds() []uint64 {
	count := setting("SYCAMORE_SOAK_SEEDS", 0)
	if count == 0 {
		return failed
	}
	first := setting("SYCAMORE_SOAK_FIRST", 1)
	var list []uint64
	for i := range count {
		list = append(list, uint64(first+i))
	}
	return list
}

var _ = Describe("A soak", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("keeps all promises, seed %d", seed), func() {
			expectNothing("soak", seed, soak)
		})
	}
})

// soak plays one seed and returns what was broken.
func soak(seed uint64, directory string) []judge.Violation {
	w, err := world.Open(world.Config{
		Program: programs.Path(process.Daemon), Directory: directory, Seed: seed,
		Gateways: setting("SYCAMORE_SOAK_GATEWAYS", 4), Upstreams: 3, TellsEra: true,
	})
	defer func() { Expect(w.Close()).To(Succeed()) }()
	Expect(err).NotTo(HaveOccurred())
	steps, err := os.Create(filepath.Join(directory, "steps.log"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = steps.Close() }()

	var version atomic.Int64
	version.Store(int64(w.Version()))
	config := load.Config{
		Count: 3 * len(w.Gateways), Seed: seed, Ways: make(map[string]string),
		Host: world.Host, Credential: world.Credential,
		Newest: func() int { return int(version.Load()) },
	}
	for _, g := range w.Gateways {
		config.Directories = append(config.Directories, g.DirectoryAddress())
		config.Ways[g.CallerAddress()] = g.Callers.Address()
	}
	group := load.Start(config)
	driver := faults.New(w, seed, zerolog.New(steps))
	driver.OnConfigure = func() { version.Store(int64(w.Version())) }
	Expect(driver.Run(time.Duration(setting("SYCAMORE_SOAK_SECONDS", defaultSeconds)) * time.Second)).To(Succeed())
	records, err := group.Stop()
	Expect(err).NotTo(HaveOccurred())
	world.Pause(quiet)
	config.Seed += 1 << 32
	group = load.Start(config)
	world.Pause(tail)
	last, err := group.Stop()
	Expect(err).NotTo(HaveOccurred())

	runs, err := w.Runs()
	Expect(err).NotTo(HaveOccurred())
	reports, err := w.Reports()
	Expect(err).NotTo(HaveOccurred())
	var restored uint64
	Expect(world.Posted(w.Store, func() { restored = w.Store.Era() })).To(Succeed())
	GinkgoWriter.Printf("%d requests, %d runs, %d at the end, %d reports, %d restores\n", len(records), len(runs), len(last), len(reports), restored)
	found := judge.History(append(records, last...), runs)
	found = append(found, judge.Reports(reports)...)
	found = append(found, judge.Recovery(last)...)
	if n := w.Strays(); n > 0 {
		found = append(found, judge.Violation{Rule: judge.StaysUp, Detail: fmt.Sprintf("%d processes", n)})
	}
	return found
}
