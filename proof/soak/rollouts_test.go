package soak_test

import (
	"net/http"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

// Roll-outs with real processes: the order and its state pass through the store, and the
// gateways divide requests by the stages that the holder of the duties publishes.
var _ = Describe("A roll-out with processes", func() {
	const (
		newVersion = "v2"
		duration   = 10 * time.Second
		// patience is the time in which a roll-out must have ended.
		patience = duration + 10*time.Second
	)
	// play orders a roll-out of the service that answers without a stream, and returns the
	// state in which it ended, and how many requests the new and the old version have run.
	play := func(failStatus int, kill bool) (state string, newRuns, oldRuns int) {
		directory, err := os.MkdirTemp("", "soak-rollout-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, directory)
		w, err := world.Open(world.Config{Program: programs.Path(process.Daemon), Directory: directory, Seed: 1, Gateways: 3, Upstreams: 3})
		DeferCleanup(func() { Expect(w.Close()).To(Succeed()) })
		Expect(err).NotTo(HaveOccurred())
		group := load.Start(loadOf(w, 1))
		Expect(w.Order(operator.Rollout{Service: world.CallService, To: newVersion, DurationS: duration.Seconds()})).To(Succeed())
		// The order is known before the upstreams register themselves.
		world.Pause(time.Second)
		for range 3 {
			_, err := w.AddVersion(world.CallService, newVersion, failStatus)
			Expect(err).NotTo(HaveOccurred())
		}
		if kill {
			world.Pause(2 * time.Second)
			w.Gateways[0].Signal(syscall.SIGKILL)
			Expect(w.Gateways[0].End()).To(Succeed())
			Expect(w.Gateways[0].Start()).To(Succeed())
		}
		for until := time.Now().Add(patience); time.Now().Before(until); world.Pause(100 * time.Millisecond) {
			state, err = w.RolloutState(world.CallService)
			Expect(err).NotTo(HaveOccurred())
			if state == "completed" || state == "rolled_back" {
				break
			}
		}
		_, err = group.Stop()
		Expect(err).NotTo(HaveOccurred())
		for _, u := range w.Upstreams {
			runs := 0
			Expect(world.Posted(u.Replica, func() { runs = len(u.Replica.Runs()) })).To(Succeed())
			switch {
			case u.Service != world.CallService:
			case u.Version == newVersion:
				newRuns += runs
			default:
				oldRuns += runs
			}
		}
		return state, newRuns, oldRuns
	}

	It("of a sound version is completed", func() {
		state, newRuns, oldRuns := play(0, false)
		Expect(state).To(Equal("completed"))
		Expect(newRuns).To(BeNumerically(">", 20))
		Expect(oldRuns).To(BeNumerically(">", 20))
	})

	It("of a version that fails is rolled back, after few requests", func() {
		state, newRuns, oldRuns := play(http.StatusInternalServerError, false)
		Expect(state).To(Equal("rolled_back"))
		Expect(float64(newRuns)).To(BeNumerically("<=", 0.1*float64(newRuns+oldRuns)+50))
	})

	It("is completed although the holder of the duties is killed", func() {
		state, _, _ := play(0, true)
		Expect(state).To(Equal("completed"))
	})
})
