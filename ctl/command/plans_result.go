package command

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// plansResult prints the latest plans and their states.
type plansResult struct {
	history *operator.History
}

func (r *plansResult) jsonValue() any { return r.history }

func (r *plansResult) exitStatus() subcommands.ExitStatus { return subcommands.ExitSuccess }

func (r *plansResult) writeText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "plan\tmember\tcreated\tcost an hour\tstate")
	for _, p := range r.history.Plans {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", p.ID, p.Member, p.Created.Format(time.RFC3339), p.MicrosPerHour, planState(&p))
	}
	return table.Flush()
}

func planState(p *operator.PlanSummary) string {
	switch {
	case p.Confirmed != nil:
		return fmt.Sprintf("version %d, confirmed by %s", p.Confirmed.Version, p.Confirmed.By)
	case time.Now().After(p.Expires):
		return "expired"
	default:
		return fmt.Sprintf("open, against version %d", p.Base)
	}
}
