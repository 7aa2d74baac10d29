package command

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// intentResult prints the configuration in effect.
type intentResult struct {
	head *plan.Head
}

func (r *intentResult) jsonValue() any { return r.head }

func (r *intentResult) exitStatus() subcommands.ExitStatus { return subcommands.ExitSuccess }

func (r *intentResult) writeText(out io.Writer) error {
	c := r.head.Configuration
	if c.Version == 0 {
		_, err := fmt.Fprintln(out, "nothing was confirmed yet")
		return err
	}
	confirmation := r.head.Confirmation
	_, _ = fmt.Fprintf(out, "version %d: plan %s, confirmed by %s at %s\n", c.Version, c.Plan, confirmation.By, confirmation.At.Format(time.RFC3339))
	_, _ = fmt.Fprintf(out, "agreed in total: %s an hour\n", c.TotalMicrosPerHour)
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(c.Documents)
}
