package script

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/check"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
)

func startCallers(w *World, args []string) error {
	if len(args) < 1 {
		return &UsageError{Usage: "callers NAME [flags]"}
	}
	f, err := parseCallerFlags(args[1:])
	if err != nil {
		return err
	}
	f.config.Name = args[0]
	w.callers[args[0]] = callers.Start(f.config)
	return nil
}

// checkCallers stops callers, or lets them end their requests, and compares
// what they were told with the witnesses.
func checkCallers(w *World, args []string) error {
	if len(args) < 1 {
		return &UsageError{Usage: "callers-check NAME [flags]"}
	}
	f, err := parseCallerFlags(args[1:])
	if err != nil {
		return err
	}
	group := w.callers[args[0]]
	if group == nil {
		return &UnknownNameError{Name: args[0]}
	}
	delete(w.callers, args[0])
	records, err := group.Stop()
	if err != nil {
		return err
	}
	runs, err := w.runs(f)
	if err != nil {
		return err
	}
	summary := summarize(records, runs)
	w.script.Logf("%s", summary)
	violations := check.History(records, runs, f.allowed)
	if len(records) == 0 || len(violations) > 0 {
		return &HistoryError{Summary: summary, Violations: violations}
	}
	return nil
}

// ran checks how often upstreams have run a request of the first customer.
func ran(w *World, args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "ran COUNT KEY [flags]"}
	}
	f, err := parseCallerFlags(args[2:])
	if err != nil {
		return err
	}
	runs, err := w.runs(f)
	if err != nil {
		return err
	}
	n := runs.Calls(args[1])
	for _, customer := range f.config.Customers {
		n += runs.Requests(customer.Name, args[1])
	}
	if strconv.Itoa(n) != args[0] {
		return &MismatchError{What: "number of runs of " + args[1], Found: strconv.Itoa(n), Expected: args[0]}
	}
	return nil
}

// runs asks the upstreams that the flags name and those that the cloud lists.
func (w *World) runs(f *callerFlags) (*witness.Runs, error) {
	upstreams := split(f.upstreams)
	if f.cloud != "" {
		var err error
		if upstreams, err = witness.Live(w.fetch, f.cloud, upstreams); err != nil {
			return nil, err
		}
	}
	return witness.Read(w.fetch, upstreams)
}

// summarize counts the outcomes and the reasons of those that are no answers.
func summarize(records []callers.Record, runs *witness.Runs) string {
	counts := make(map[string]int)
	recomputed := 0
	for _, r := range records {
		name := string(r.Outcome)
		if r.Outcome != callers.Completed {
			name += "/" + r.Reason
		}
		counts[name]++
		recomputed += r.RecomputedTokens
	}
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(parts)
	return fmt.Sprintf("submissions=%d %s recomputed_tokens=%d runs=%d witnesses_missing=%d",
		len(records), strings.Join(parts, " "), recomputed, runs.Total(), len(runs.Missing))
}
