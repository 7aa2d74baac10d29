package bench_test

import (
	"testing"

	"github.com/sycamorecourse/sycamorecourse/proof/bench"
)

// Loads at which the default policies answer 95 % within the targets, by
// BenchmarkCapacity.
const (
	noranbusCapacity    = 1.85
	cooperativeCapacity = 1.7
)

const (
	leastGoodputKept   = 0.95
	greatestAttempts   = 1.1
	boundsSeeds        = 2
	overloadOfCapacity = 2
)

var shipped = bench.Variant{Name: "default"}

func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	for _, tc := range []struct {
		member   bench.Member
		capacity float64
	}{
		{bench.Noranbus(), noranbusCapacity},
		{bench.Cooperative(), cooperativeCapacity},
	} {
		t.Run(tc.member.Name, func(t *testing.T) {
			t.Parallel()
			at := bench.Goodput(tc.member, shipped, tc.capacity, boundsSeeds)
			beyond := bench.Goodput(tc.member, shipped, overloadOfCapacity*tc.capacity, boundsSeeds)
			t.Logf("goodput of the engines: %.1f/s at the capacity, %.1f/s at twice of it", at, beyond)
			if beyond < leastGoodputKept*at {
				t.Errorf("goodput fell from %.1f/s to %.1f/s", at, beyond)
			}
		})
	}
}

func TestAttemptsStayBoundedWhileAFailureDomainFails(t *testing.T) {
	for _, m := range []bench.Member{bench.Noranbus(), bench.Cooperative()} {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			for _, r := range bench.RunSeeds(m, bench.Scenario{Name: "domain_failing", Load: 0.6, FailDomain: true}, shipped, boundsSeeds) {
				t.Logf("%.3f attempts for each request, %d of %d failed", r.AttemptsPerRequest(), r.Failed, r.Offered)
				if r.AttemptsPerRequest() > greatestAttempts {
					t.Errorf("%.3f attempts for each request", r.AttemptsPerRequest())
				}
			}
		})
	}
}
