package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// RunSeeds measures a variant with the seeds from 1 to n.
func RunSeeds(m Member, s Scenario, v Variant, n int) []*Result {
	results := make([]*Result, 0, n)
	for seed := range n {
		results = append(results, Run(m, s, v, uint64(seed)+1))
	}
	return results
}

// WriteReport writes a table of all variants for a member and a scenario.
func WriteReport(w io.Writer, m Member, s Scenario, variants []Variant, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %s, load %.2f\n", m.Name, s.Name, s.Load)
	fmt.Fprintf(t, "policy\tin target %%\tcost/1000\trecomputed\trefused %%\tfailed %%\tJain\tmax/mean\tattempts\t")
	for _, c := range m.Classes {
		fmt.Fprintf(t, "%s %%\t", c.Name)
	}
	fmt.Fprintln(t)
	for _, v := range variants {
		results := RunSeeds(m, s, v, seeds)
		fmt.Fprintf(t, "%s\t", v.Name)
		for _, c := range columns {
			fmt.Fprintf(t, "%s\t", figure(results, c.value).text(c.decimals))
		}
		for i := range m.Classes {
			share := func(r *Result) float64 { return 100 * float64(r.Classes[i].Good) / float64(r.Classes[i].Offered) }
			fmt.Fprintf(t, "%s\t", figure(results, share).text(1))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

// column is a measure of the report.
type column struct {
	decimals int
	value    func(*Result) float64
}

var columns = []column{
	{1, func(r *Result) float64 { return 100 * r.GoodShare() }},
	{3, (*Result).CostPerThousand},
	{0, (*Result).RecomputedPerAnswer},
	{1, func(r *Result) float64 { return 100 * float64(r.Refused) / float64(r.Offered) }},
	{1, func(r *Result) float64 { return 100 * float64(r.Failed) / float64(r.Offered) }},
	{3, func(r *Result) float64 { return r.Jain }},
	{2, func(r *Result) float64 { return r.MaxOverMean }},
	{3, (*Result).AttemptsPerRequest},
}

// WriteCapacity writes, for each variant, the capacity of a member, the cost of
// a thousand answers there, and the goodput beyond it.
func WriteCapacity(w io.Writer, m Member, variants []Variant, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, greatest load with %.0f %% in target\n", m.Name, 100*TargetShare)
	fmt.Fprintln(t, "policy\tload\tcost/1000\trecomputed\tgoodput/s\tat 1.5x\tat 2x\t")
	for _, v := range variants {
		load := Capacity(m, v, seeds)
		results := RunSeeds(m, Scenario{Name: "capacity", Load: load}, v, seeds)
		fmt.Fprintf(t, "%s\t%.2f\t%s\t%s\t", v.Name, load,
			figure(results, (*Result).CostPerThousand).text(4), figure(results, (*Result).RecomputedPerAnswer).text(0))
		fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t\n", Goodput(m, v, load, seeds), Goodput(m, v, 1.5*load, seeds), Goodput(m, v, 2*load, seeds))
	}
	fmt.Fprintln(t)
	return t.Flush()
}
