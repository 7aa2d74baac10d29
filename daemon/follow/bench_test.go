package follow_test

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

const (
	idleDuration   = 10 * time.Second
	changes        = 20
	settleDuration = 2 * time.Second
	customerCount  = 100
)

// BenchmarkSpread measures clusters of several sizes and numbers of links per
// process. Run it with -benchtime 1x. SYCAMORE_SIZES and SYCAMORE_LINKS list
// the values to measure; 0 links means a link between every two processes.
func BenchmarkSpread(b *testing.B) {
	for _, size := range envInts("SYCAMORE_SIZES", "8,32") {
		for _, links := range envInts("SYCAMORE_LINKS", "4") {
			b.Run(fmt.Sprintf("processes=%d/links=%d", size, links), func(b *testing.B) {
				for range b.N {
					measure(b, size, links)
				}
			})
		}
	}
}

func envInts(variable, fallback string) []int {
	text := os.Getenv(variable)
	if text == "" {
		text = fallback
	}
	var out []int
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			panic(err)
		}
		out = append(out, n)
	}
	return out
}

func measure(b *testing.B, size, links int) {
	maxLinks := 24
	if links == 0 {
		links, maxLinks = size-1, size*6/5+2
	}
	before := residentBytes()
	c := newCluster(size, maxLinks, spread.Config{Links: links})
	defer c.close()
	up, ok := c.await(time.Minute, c.knowsAll)
	if !ok {
		b.Fatal("the cluster did not start")
	}
	pause(settleDuration)
	perProcess := func(total float64) float64 { return total / float64(size) }

	b.ReportMetric(up.Seconds(), "start-s")
	sent, cpu := c.bytes(), cpuTime()
	pause(idleDuration)
	b.ReportMetric(perProcess(float64(c.bytes()-sent))/idleDuration.Seconds(), "idle-sentB/s")
	b.ReportMetric(perProcess(100*(cpuTime()-cpu).Seconds())/idleDuration.Seconds(), "idle-core%")
	b.ReportMetric(c.sum("sycamore_links")/float64(size), "links")
	debug.FreeOSMemory()
	b.ReportMetric(perProcess(residentBytes()-before)/(1<<20), "MB")
	b.ReportMetric(float64(runtime.NumGoroutine())/float64(size), "goroutines")

	sent, cpu = c.bytes(), cpuTime()
	messages, started := c.sum("sycamore_link_messages_sent_total"), time.Now()
	configurations, reported := changeConfiguration(b, c)
	span := time.Since(started).Seconds()
	idleMessages := c.sum("sycamore_links") * span / 2
	b.ReportMetric(perProcess(c.sum("sycamore_link_messages_sent_total")-messages-idleMessages)/changes, "msgs/change")
	b.ReportMetric(perProcess(float64(c.bytes()-sent))/changes, "sentB/change")
	b.ReportMetric(perProcess(1e3*(cpuTime()-cpu).Seconds())/changes, "cpu-ms/change")
	reportPercentiles(b, configurations, "config")
	reportPercentiles(b, reported, "reported")

	sent = c.bytes()
	reportPercentiles(b, changeFleet(b, c), "reclaim")
	b.ReportMetric(perProcess(float64(c.bytes()-sent))/changes, "sentB/reclaim")
	b.ReportMetric(0, "ns/op")
}

// changeConfiguration publishes configurations of about 20 KB. For each it
// returns the time until it was delivered at all daemons, and until all had
// reported that to the publisher.
func changeConfiguration(b *testing.B, c *cluster) (delivered, reported []time.Duration) {
	document := intent.Document{Member: "noranbus"}
	for i := range customerCount {
		document.Customers = append(document.Customers, intent.Customer{
			Name: fmt.Sprint("customer-", i), CredentialSHA256: strings.Repeat("a", 64), Share: i,
		})
	}
	for i := range changes {
		version := uint64(i + 1)
		reply := ring.New[spread.Progress]("reply", 1)
		start := time.Now()
		publisher := c.daemons[(2*i+1)%len(c.daemons)].follow
		_ = publisher.PublishConfiguration(&intent.Configuration{Version: version, Documents: []intent.Document{document}})
		_ = publisher.Await(version, time.Minute, reply)
		span, ok := c.await(time.Minute, func(d *daemon) bool { return d.version.Load() >= version })
		if !ok {
			b.Fatal("a configuration did not reach all daemons")
		}
		delivered = append(delivered, span)
		if progress, _, _ := reply.TakeUntil(time.Minute); len(progress.Missing) > 0 {
			b.Fatalf("no report from %v", progress.Missing)
		}
		reported = append(reported, time.Since(start))
		pause(settleDuration / 4)
	}
	return delivered, reported
}

// changeFleet publishes reclaim notices, each of one instance, and returns the
// time until each was delivered at all daemons.
func changeFleet(b *testing.B, c *cluster) (delivered []time.Duration) {
	for i := range changes {
		instance := fleet.Instance{
			ID: fmt.Sprint("instance-", i), Member: "noranbus", Pool: "route-llm", Address: "192.0.2.1:8000", Region: "kr-seoul",
			FailureDomain: "seoul-a", MachineClass: "gpu-large", State: fleet.Leaving, Ends: time.Now(), MicrosPerHour: 1e6,
		}
		_ = c.daemons[1].follow.PublishFleet(1, []fleet.Instance{instance}, nil)
		span, ok := c.await(time.Minute, func(d *daemon) bool { return d.instances.Load() >= int64(i+1) })
		if !ok {
			b.Fatal("a reclaim notice did not reach all daemons")
		}
		delivered = append(delivered, span)
	}
	return delivered
}

func reportPercentiles(b *testing.B, spans []time.Duration, name string) {
	slices.Sort(spans)
	b.ReportMetric(float64(spans[len(spans)/2].Microseconds())/1e3, name+"-p50-ms")
	b.ReportMetric(float64(spans[len(spans)-1].Microseconds())/1e3, name+"-max-ms")
}

func pause(d time.Duration) {
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(d)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of this process.
func residentBytes() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		panic(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	if err != nil {
		panic(err)
	}
	return float64(pages * os.Getpagesize())
}
