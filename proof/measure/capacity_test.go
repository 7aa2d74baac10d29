package measure_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/proof/measure"
)

// loadCallers is the number of callers that send at the same time.
const loadCallers = 64

// pause parks the test while the site runs by itself.
func pause(d time.Duration) {
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(d)
}

func usage(t *testing.T, pid int) measure.Usage {
	u, err := measure.UsageOf(pid)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestMeasureLoadSlopes prints what a request and a token cost a gateway.
func TestMeasureLoadSlopes(t *testing.T) {
	if os.Getenv("SYCAMORE_MEASURE") == "" {
		t.Skip("prints figures; run with SYCAMORE_MEASURE=1")
	}
	netlog.Install(zerolog.Nop())
	site, err := measure.OpenSite(t.TempDir(), 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	load(t, site, loadCallers, 5, 8, true, "warm")
	for round, l := range []struct {
		requests, tokens int
		idempotent       bool
	}{{20, 8, true}, {80, 8, true}, {20, 72, true}, {20, 8, false}, {80, 8, false}} {
		before := usage(t, site.Gateway.PID())
		load(t, site, loadCallers, l.requests, l.tokens, l.idempotent, fmt.Sprint("round-", round))
		after := usage(t, site.Gateway.PID())
		fmt.Printf("requests=%d tokens_each=%d idempotent=%v gateway_processor=%v\n", loadCallers*l.requests, l.tokens, l.idempotent, after.Processor-before.Processor)
	}
	for _, streams := range []int{0, 500, 2000} {
		if streams == 0 {
			fmt.Printf("open_streams=0 gateway_resident=%d threads=%d\n", usage(t, site.Gateway.PID()).ResidentBytes, usage(t, site.Gateway.PID()).Threads)
			continue
		}
		running := thread.Start("streams", func() error {
			_, err := measure.OpenStreams(site.GatewayAddress, bed.Credential, bed.ModelName, streams, 400)
			return err
		})
		pause(5 * time.Second)
		u := usage(t, site.Gateway.PID())
		fmt.Printf("open_streams=%d gateway_resident=%d threads=%d\n", streams, u.ResidentBytes, u.Threads)
		if err := running.Join(); err != nil {
			t.Fatal(err)
		}
	}
	if err := site.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestMeasureControlSlopes prints what an idle gateway and controller use, by
// number of upstreams and of customers.
func TestMeasureControlSlopes(t *testing.T) {
	if os.Getenv("SYCAMORE_MEASURE") == "" {
		t.Skip("prints figures; run with SYCAMORE_MEASURE=1")
	}
	for _, size := range []struct{ engines, customers int }{{3, 10}, {60, 10}, {200, 10}, {3, 1000}} {
		site, err := measure.OpenSite(t.TempDir(), size.engines, size.customers)
		if err != nil {
			t.Fatal(err)
		}
		pause(5 * time.Second)
		const watch = 10 * time.Second
		gateway, controller := usage(t, site.Gateway.PID()), usage(t, site.Controller.PID())
		pause(watch)
		gatewayAfter, controllerAfter := usage(t, site.Gateway.PID()), usage(t, site.Controller.PID())
		part := func(a, b measure.Usage) float64 {
			return 100 * float64(b.Processor-a.Processor) / float64(watch)
		}
		fmt.Printf("engines=%d customers=%d gateway: %.2f%% of a core, %d bytes, %d threads; controller: %.2f%% of a core, %d bytes, %d threads\n",
			size.engines, size.customers, part(gateway, gatewayAfter), gatewayAfter.ResidentBytes, gatewayAfter.Threads,
			part(controller, controllerAfter), controllerAfter.ResidentBytes, controllerAfter.Threads)
		if err := site.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func load(t *testing.T, site *measure.Site, callers, requests, tokens int, idempotent bool, name string) {
	var threads []*thread.Thread
	for caller := range callers {
		threads = append(threads, thread.Start("caller", func() error {
			c := client.New(client.Config{SeedAddresses: []string{site.GatewayAddress}, Credential: bed.Credential, RandomSeed: uint64(caller + 1)})
			if err := c.Open(); err != nil {
				return err
			}
			for i := range requests {
				_, err := c.Submit(client.Request{
					Key: fmt.Sprintf("%s-%d-%d", name, caller, i), Idempotent: idempotent, Model: bed.ModelName,
					Prompt: fmt.Sprintf("rebuild the routes of district %d, night %d", caller, i), MaxTokens: tokens, Deadline: time.Minute,
				}, nil)
				if err != nil {
					return err
				}
			}
			return c.Close()
		}))
	}
	for _, running := range threads {
		if err := running.Join(); err != nil {
			t.Fatal(err)
		}
	}
}
