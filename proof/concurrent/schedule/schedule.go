package schedule

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/fetch"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

const (
	// faultsPath sets the fault switches of a stand-in.
	faultsPath = "/standin/faults"
	// maxHold bounds the time for which a fault lasts.
	maxHold = 120 * time.Millisecond
	// maxQuiet bounds the time between two faults.
	maxQuiet = 80 * time.Millisecond
)

// Schedule is a running sequence of faults.
type Schedule struct {
	thread *thread.Thread
}

// Start begins the sequence.
func Start(config Config) *Schedule {
	steps := plan(config)
	return &Schedule{thread: thread.Start("schedule", func() error { return run(steps) })}
}

// Wait waits until all faults have come and gone.
func (s *Schedule) Wait() error {
	return s.thread.Join()
}

// plan fixes the steps. Each fault is unset before the next one, but for some
// that overlap.
func plan(config Config) []step {
	random := rand.New(rand.NewPCG(config.Seed, 7))
	var steps []step
	var open []string
	for range config.Steps {
		address := config.Table
		faults := tableFaults(random)
		if random.IntN(3) == 0 {
			address = config.Upstreams[random.IntN(len(config.Upstreams))]
			faults = upstreamFaults(random)
		}
		steps = append(steps, step{wait: between(random, maxQuiet), address: address, faults: faults})
		open = append(open, address)
		if len(open) > 1 || random.IntN(2) == 0 {
			steps = append(steps, unset(open, between(random, maxHold))...)
			open = nil
		}
	}
	all := append([]string{config.Table}, config.Upstreams...)
	return append(steps, unset(all, maxHold)...)
}

func unset(addresses []string, wait time.Duration) []step {
	var steps []step
	for _, address := range addresses {
		steps = append(steps, step{wait: wait, address: address})
		wait = 0
	}
	return steps
}

func tableFaults(random *rand.Rand) host.Faults {
	switch random.IntN(6) {
	case 0:
		return host.Faults{Down: true, Mode: host.ModeCut}
	case 1:
		return host.Faults{Down: true, Mode: host.ModeError}
	case 2:
		return host.Faults{LoseAnswers: 1 + random.IntN(20)}
	case 3:
		return host.Faults{LoseRequests: 1 + random.IntN(20)}
	case 4:
		return host.Faults{SlowMillis: int64(10 + random.IntN(60)), LoseAnswers: random.IntN(10)}
	default:
		return host.Faults{Freeze: true}
	}
}

func upstreamFaults(random *rand.Rand) host.Faults {
	switch random.IntN(4) {
	case 0:
		return host.Faults{LoseAnswers: 1 + random.IntN(5)}
	case 1:
		return host.Faults{LoseRequests: 1 + random.IntN(5)}
	case 2:
		return host.Faults{RefuseStart: true}
	default:
		return host.Faults{Down: true, Mode: host.ModeCut}
	}
}

func between(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit))) + time.Millisecond
}

func run(steps []step) error {
	client, err := fetch.Open()
	if err != nil {
		return err
	}
	pause := ring.New[bool]("pause", 1)
	for _, s := range steps {
		// Nothing is offered, so this parks for the given time.
		_, _, _ = pause.TakeUntil(s.wait)
		body, err := json.Marshal(s.faults)
		if err != nil {
			return err
		}
		if _, err := client.Post(s.address, faultsPath, body); err != nil {
			return err
		}
	}
	return client.Close()
}
