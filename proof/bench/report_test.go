package bench_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/sycamorecourse/sycamorecourse/proof/bench"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

var (
	seeds     = flag.Int("seeds", 5, "number of seeds of the report")
	scenarios = flag.String("scenarios", "", "prefix of the scenarios of the report")
	variants  = flag.String("variants", "", "prefix of the variants of the report")
)

func chosenVariants() []bench.Variant {
	var chosen []bench.Variant
	for _, v := range bench.Variants() {
		if strings.HasPrefix(v.Name, *variants) {
			chosen = append(chosen, v)
		}
	}
	return chosen
}

// BenchmarkCapacity writes the table of capacities of docs/POLICY.md.
func BenchmarkCapacity(b *testing.B) {
	for _, m := range []bench.Member{bench.Noranbus(), bench.Cooperative()} {
		if err := bench.WriteCapacity(os.Stdout, m, chosenVariants(), *seeds); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPolicyReport writes the tables of docs/POLICY.md.
func BenchmarkPolicyReport(b *testing.B) {
	chosen := chosenVariants()
	for _, m := range []bench.Member{bench.Noranbus(), bench.Cooperative()} {
		for _, s := range bench.Scenarios() {
			if !strings.HasPrefix(s.Name, *scenarios) {
				continue
			}
			if err := bench.WriteReport(os.Stdout, m, s, chosen, *seeds); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkSampling writes the table of docs/POLICY.md on large pools.
func BenchmarkSampling(b *testing.B) {
	const scale = 8
	scan := route.Config{ScanLimit: 1000}
	compared := []bench.Variant{{Name: "scan", Route: scan}, {Name: "sample"}}
	for _, m := range []bench.Member{bench.Noranbus(), bench.Cooperative()} {
		s := bench.Scenario{Name: "8x the replicas", Load: 1.5}
		if err := bench.WriteReport(os.Stdout, bench.Scaled(m, scale), s, compared, 2); err != nil {
			b.Fatal(err)
		}
	}
}
