package command

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// planResult prints a plan.
type planResult struct {
	plan *plan.Plan
}

func (r *planResult) value() any { return r.plan }

func (r *planResult) exit() subcommands.ExitStatus { return subcommands.ExitSuccess }

func (r *planResult) text(out io.Writer) error {
	p := r.plan
	_, _ = fmt.Fprintf(out, "plan %s of %s against version %d, expires %s\n", p.ID, p.Document.Member, p.Base, p.Expires.Format(time.RFC3339))
	_, _ = fmt.Fprintln(out, "changes:")
	if err := printChanges(out, p.Changes); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "cost an hour:")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  member\tafter\tbefore\tagreed")
	for _, c := range p.Costs {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%s\t%s\n", c.Member, c.MicrosPerHour, c.BeforeMicrosPerHour, c.AgreedMicrosPerHour)
	}
	_, _ = fmt.Fprintf(table, "  total\t%s\t\t%s\n", p.MicrosPerHour(), p.TotalMicrosPerHour)
	if err := table.Flush(); err != nil {
		return err
	}
	printShort(out, p.Pools)
	_, err := fmt.Fprintf(out, "nothing has taken effect; to confirm: sycamorectl confirm %s\n", p.ID)
	return err
}

// printShort warns of pools that can't be placed as wanted.
func printShort(out io.Writer, pools []plan.PoolPlacement) {
	for _, p := range pools {
		if p.Unplaced > 0 {
			_, _ = fmt.Fprintf(out, "warning: no offer for %d replicas of pool %s\n", p.Unplaced, p.Pool)
		}
		if p.Survivors < p.SurvivorsWanted {
			_, _ = fmt.Fprintf(out, "warning: pool %s keeps %d replicas when its largest failure domain is lost, %d are wanted\n",
				p.Pool, p.Survivors, p.SurvivorsWanted)
		}
	}
}

func printChanges(out io.Writer, changes []plan.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(out, "  none")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range changes {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%s\t-> %s\n", c.Subject, c.Name, orNone(c.From), orNone(c.To))
	}
	return table.Flush()
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
