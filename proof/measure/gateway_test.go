package measure_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/proof/measure"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

const (
	answerTokens = 64
	perCaller    = 40
)

func TestMeasureGateway(t *testing.T) {
	if os.Getenv("SYCAMORE_MEASURE") == "" {
		t.Skip("prints figures; run with SYCAMORE_MEASURE=1")
	}
	b, err := bed.Open(bed.Config{
		Engines: 4, Gateways: 1, MaxConcurrent: 4096, MaxRequests: 8192,
		Engine: engine.Config{Slots: 4096, QueueLimit: 8192, TokenTime: 10 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, callers := range []int{1, 8, 64} {
		fmt.Printf("callers=%d tokens=%d token_time=10ms\n", callers, answerTokens)
		fmt.Printf("  straight to the engine: %v\n", straight(t, b, callers))
		fmt.Printf("  through the gateway, idempotent: %v\n", through(t, b, callers, true))
		fmt.Printf("  through the gateway, non-idempotent: %v\n", through(t, b, callers, false))
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
}

// straight sends the load to the engines in turn.
func straight(t *testing.T, b *bed.Bed, callers int) *measure.Series {
	http := httpc.New(httpc.Config{})
	if err := http.Open(); err != nil {
		t.Fatal(err)
	}
	running := thread.Start("http", http.Run)
	series := run(t, callers, func(caller, i int) (measure.Sample, error) {
		e := b.Engines[(caller+i)%len(b.Engines)]
		return measure.Direct(http, e.Address(), bed.ModelName, prompt(caller, i), fmt.Sprintf("s-%d-%d", caller, i), answerTokens)
	})
	http.Close()
	if err := running.Join(); err != nil {
		t.Fatal(err)
	}
	return series
}

func through(t *testing.T, b *bed.Bed, callers int, idempotent bool) *measure.Series {
	clients := make([]*client.Client, callers)
	for i := range clients {
		clients[i] = client.New(client.Config{SeedAddresses: b.Seeds(), Credential: bed.Credential, RandomSeed: uint64(i + 1)})
		if err := clients[i].Open(); err != nil {
			t.Fatal(err)
		}
		if _, err := clients[i].Addresses(); err != nil {
			t.Fatal(err)
		}
	}
	series := run(t, callers, func(caller, i int) (measure.Sample, error) {
		var sample measure.Sample
		start := time.Now()
		_, err := clients[caller].Submit(client.Request{
			Key: fmt.Sprintf("%v-%d-%d-%d", idempotent, callers, caller, i), Idempotent: idempotent, Model: bed.ModelName,
			Prompt: prompt(caller, i), MaxTokens: answerTokens, Deadline: time.Minute,
		}, func(p client.Piece) {
			if p.Index == 0 {
				sample.First = time.Since(start)
			}
		})
		sample.Whole = time.Since(start)
		return sample, err
	})
	for _, c := range clients {
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return series
}

func run(t *testing.T, callers int, ask func(caller, i int) (measure.Sample, error)) *measure.Series {
	samples := ring.New[measure.Sample]("samples", callers*perCaller)
	var threads []*thread.Thread
	for caller := range callers {
		threads = append(threads, thread.Start("caller", func() error {
			for i := range perCaller {
				sample, err := ask(caller, i)
				if err != nil {
					return err
				}
				_ = samples.Offer(sample)
			}
			return nil
		}))
	}
	for _, running := range threads {
		if err := running.Join(); err != nil {
			t.Fatal(err)
		}
	}
	samples.Close()
	series := measure.NewSeries()
	for {
		sample, err := samples.Take()
		if err != nil {
			return series
		}
		series.Add(sample)
	}
}

func prompt(caller, i int) string {
	return fmt.Sprintf("rebuild the routes of district %d, night %d", caller, i)
}

func TestMeasureThreads(t *testing.T) {
	if os.Getenv("SYCAMORE_MEASURE") == "" {
		t.Skip("prints figures; run with SYCAMORE_MEASURE=1")
	}
	b, err := bed.Open(bed.Config{
		Engines: 4, Gateways: 1, MaxConcurrent: 4096, MaxRequests: 4096,
		Engine: engine.Config{Slots: 4096, QueueLimit: 8192, TokenTime: 100 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, streams := range []int{1, 1000, 1, 1000} {
		threads, err := measure.OpenStreams(b.Seeds()[0], bed.Credential, bed.ModelName, streams, 30)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("open streams=%d threads of the process=%d\n", streams, threads)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
}
