package bench_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

const promptBlocks = 40

func newRouter(policy route.Policy, replicas int) (*route.Router, []route.Job) {
	r := route.New(route.Config{Policy: policy})
	for i := range replicas {
		r.Upsert(route.Replica{ID: fmt.Sprintf("i-%d", i), Pool: "p", Model: "m", MaxConcurrent: 32, State: fleet.Live})
	}
	source := rand.New(rand.NewPCG(1, 2))
	jobs := make([]route.Job, 256)
	for i := range jobs {
		blocks := make([]uint64, promptBlocks)
		for k := range blocks {
			blocks[k] = source.Uint64()
		}
		jobs[i] = route.Job{Pool: "p", Model: "m", PromptBlocks: blocks, PromptTokens: 64 * promptBlocks, MaxTokens: 100, LatencyTarget: time.Second, Remaining: time.Minute}
		for holder := range 4 {
			id := fmt.Sprintf("i-%d", (i*7+holder)%replicas)
			r.ReportCache(id, 1, route.CacheEvent{Sequence: uint64(i + 1), Kind: route.CacheStored, Blocks: blocks[:promptBlocks/2]})
		}
	}
	return r, jobs
}

// BenchmarkChoose measures one decision, and BenchmarkAttempt one decision with
// all events of its attempt.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []route.Policy{route.LeastRequests, route.PredictedCached} {
		for _, replicas := range []int{12, 100, 900} {
			b.Run(fmt.Sprintf("%s/%d", policy, replicas), func(b *testing.B) {
				r, jobs := newRouter(policy, replicas)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, err := r.Choose(jobs[i%len(jobs)], clock.Instant(i+1)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkAttempt(b *testing.B) {
	for _, replicas := range []int{12, 100, 900} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			r, jobs := newRouter(route.PredictedCached, replicas)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := clock.Instant(i + 1)
				job := jobs[i%len(jobs)]
				c, err := r.Choose(job, now)
				if err != nil {
					b.Fatal(err)
				}
				r.Started(&c, job, now)
				r.FirstToken(&c, 100*time.Millisecond, now)
				r.NextTokens(&c, 50, time.Second, now)
				r.Finished(&c, now)
			}
		})
	}
}

// BenchmarkAdmit measures the admission, dispatch and end of one request while
// a number of others waits.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := admit.New(admit.Config{Capacity: 2000})
			id := uint64(0)
			add := func(now clock.Instant) {
				id++
				e := admit.Entry{ID: id, Customer: customers[id%uint64(len(customers))], Pool: "p", Arrived: now, FirstTokenBy: now.Add(time.Second), Deadline: now.Add(time.Hour), PredictedWork: time.Second}
				if err := q.Admit(e, now); err != nil {
					b.Fatal(err)
				}
			}
			for range waiting {
				add(1)
			}
			always := func(admit.Entry) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				add(1)
				e, ok := q.Next(1, always)
				if !ok {
					b.Fatal("nothing to dispatch")
				}
				q.Finish(e, time.Second)
			}
		})
	}
}

var customers = []string{"a", "b", "c", "d", "e"}
