package bench_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/sycamorecourse/sycamorecourse/proof/bench"
)

var (
	seeds     = flag.Int("seeds", 5, "number of seeds of the report")
	scenarios = flag.String("scenarios", "", "prefix of the scenarios of the report")
	variants  = flag.String("variants", "", "prefix of the variants of the report")
)

// BenchmarkPolicyReport writes the tables of docs/POLICY.md.
func BenchmarkPolicyReport(b *testing.B) {
	var chosen []bench.Variant
	for _, v := range bench.Variants() {
		if strings.HasPrefix(v.Name, *variants) {
			chosen = append(chosen, v)
		}
	}
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
