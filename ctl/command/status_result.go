package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// statusResult prints the processes, pools and leases.
type statusResult struct {
	status *operator.Status
}

func (r *statusResult) jsonValue() any { return r.status }

func (r *statusResult) exitStatus() subcommands.ExitStatus { return subcommands.ExitSuccess }

func (r *statusResult) writeText(out io.Writer) error {
	s := r.status
	_, _ = fmt.Fprintf(out, "version %d, as known by %s\n", s.Version, s.Controller)
	if err := printProcesses(out, s.Processes); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  member/pool\twanted\tstarting\tlive\tleaving\tcost an hour")
	for _, p := range s.Pools {
		_, _ = fmt.Fprintf(table, "  %s/%s\t%d\t%d\t%d\t%d\t%s\n", p.Member, p.Pool, p.Desired, p.Starting, p.Live, p.Leaving, p.MicrosPerHour)
	}
	_, _ = fmt.Fprintln(table, "  lease\tholder\tfence")
	for _, l := range s.Leases {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%d\n", l.Duty, orNone(l.Holder), l.Fence)
	}
	return table.Flush()
}

func printProcesses(out io.Writer, processes []operator.Process) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  process\trole\tfailure domain\tversion")
	for _, p := range processes {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%s\t%d\n", p.Instance, p.Role, p.FailureDomain, p.Version)
	}
	return table.Flush()
}
