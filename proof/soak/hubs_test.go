package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/standin/requester"
)

const (
	// hubGateways is enough for some to follow the store for the others.
	hubGateways = 10
	// inForceTime is the time within which a configuration is in force everywhere.
	inForceTime = 2 * time.Second
	// lateTime is how long after that the dropped key is still tried, and lateSlack what
	// the clock readings may be off by.
	lateTime  = 1500 * time.Millisecond
	lateSlack = 20 * time.Millisecond
	// probeTime is how long the key is used at least before it is dropped.
	probeTime = 200 * time.Millisecond
	// droppedKey is the key that is dropped.
	droppedKey = "soak-dropped"
)

// keyProbe sends requests with a key to one gateway and notes when those were sent that it has
// served.
type keyProbe struct {
	gateway *world.Gateway
	seed    uint64
	key     string
	served  []time.Time
}

// count returns how many of those were sent from an instant until another one.
func (p *keyProbe) count(from, to time.Time) (n int) {
	for _, sent := range p.served {
		if !sent.Before(from) && sent.Before(to) {
			n++
		}
	}
	return n
}

func (p *keyProbe) run(until time.Time) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(until); n++ {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.gateway.CallerAddress()+"/safe/x", nil)
		if err != nil {
			return err
		}
		request.Host = world.Host
		id := fmt.Sprintf("%x-%s-%s-%d", p.seed, p.gateway.Name, p.key, n)
		requester.RequestHeader{ID: id, Credential: p.key, Timeout: time.Second}.SetHeader(request.Header)
		sent := time.Now()
		if res, err := client.Do(request); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				p.served = append(p.served, sent)
			}
		}
		world.Pause(25 * time.Millisecond)
	}
	return nil
}

// hubNames returns which gateways follow the store for the others.
func hubNames(w *world.World) map[string]bool {
	var records []cluster.Record
	for _, g := range w.Gateways {
		records = append(records, cluster.Record{Instance: g.Name, FailureDomain: "z", PeerAddress: g.Name, Ready: true})
	}
	names := make(map[string]bool)
	for _, hub := range exchange.Hubs(records) {
		names[hub.Instance] = true
	}
	return names
}

// Guards against a configuration that comes late to gateways in touch, since the one that
// follows the store for them is cut off from it.
var _ = Describe("A soak of hubs", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("a dropped key is out of use in time while hubs are cut off, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 9))
			upTo := func(longest time.Duration) time.Duration { return time.Duration(random.Int64N(int64(longest))) }
			directory, err := os.MkdirTemp("", fmt.Sprintf("soak-hubs-%d-", seed))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(os.RemoveAll, directory)
			w, err := world.Open(world.Config{
				Program: programs.Path(process.Daemon), Directory: directory, Seed: seed, Gateways: hubGateways, Upstreams: 1,
			})
			DeferCleanup(func() { Expect(w.Close()).To(Succeed()) })
			Expect(err).NotTo(HaveOccurred())
			w.SetCredentials(world.Credential, droppedKey)
			Expect(w.Configure()).To(Succeed())
			world.Pause(3*time.Second + upTo(time.Second))

			hubs := hubNames(w)
			Expect(hubs).NotTo(BeEmpty())
			var probes []*keyProbe
			for _, g := range w.Gateways {
				if hubs[g.Name] {
					Expect(g.Store.Cut()).To(Succeed())
					continue
				}
				probes = append(probes, &keyProbe{gateway: g, seed: seed, key: droppedKey})
			}
			wait := probeTime + upTo(300*time.Millisecond)
			end := time.Now().Add(wait + inForceTime + lateTime)
			var threads []*thread.Thread
			for _, p := range probes {
				threads = append(threads, thread.Start("probe", func() error { return p.run(end) }))
			}
			world.Pause(wait)
			w.SetCredentials(world.Credential)
			Expect(w.Configure()).To(Succeed())
			dropped := time.Now()
			for _, t := range threads {
				Expect(t.Join()).To(Succeed())
			}
			var found []judge.Violation
			for _, p := range probes {
				Expect(p.served).NotTo(BeEmpty(), "%s never served the key", p.gateway.Name)
				if after := p.served[len(p.served)-1].Sub(dropped); after > inForceTime+lateSlack {
					found = append(found, judge.Violation{Rule: judge.InForce, Detail: fmt.Sprintf("%s served the key %v after it was dropped", p.gateway.Name, after)})
				}
			}
			Expect(found).To(BeEmpty())
		})
	}
})
