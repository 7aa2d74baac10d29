package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// exitUsage documents the exit statuses of all commands that call controllers.
const exitUsage = `  Exit status: 0 success, 1 failure, 2 usage, 3 conflict, 4 no controller
  answered, 5 confirmed but not in force everywhere yet.
`

// controllers is what all commands that call controllers have in common: their
// flags, the call and the output as text or JSON.
type controllers struct {
	set       *settings.Set
	addresses []string
	timeout   time.Duration
	asJSON    bool
}

func (c *controllers) declare(f *flag.FlagSet) {
	c.set = settings.New(f)
	c.set.Addresses(&c.addresses, "controllers", "", "operators' addresses of the controllers, tried in turn", true)
	c.set.Duration(&c.timeout, "timeout", 10*time.Second, "the limit of one call", 10*time.Millisecond, 10*time.Minute)
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// run parses the arguments, makes the call and prints its result.
func (c *controllers) run(f *flag.FlagSet, wanted int, act func(client *operator.Client, args []string) (printable, error)) subcommands.ExitStatus {
	result, err := c.call(f, wanted, act)
	if err != nil {
		report(os.Stderr, err)
		return exitOf(err)
	}
	if err := c.print(os.Stdout, result); err != nil {
		return subcommands.ExitFailure
	}
	return result.exit()
}

func (c *controllers) call(f *flag.FlagSet, wanted int, act func(*operator.Client, []string) (printable, error)) (printable, error) {
	args, err := positional(f)
	if err != nil {
		return nil, err
	}
	if len(args) != wanted {
		return nil, &UsageError{Problem: fmt.Sprintf("%d arguments are wanted, not %d", wanted, len(args))}
	}
	if err := c.set.Load(); err != nil {
		return nil, err
	}
	client, err := operator.Open(c.addresses, c.timeout)
	if err != nil {
		return nil, err
	}
	result, err := act(client, args)
	if closeErr := client.Close(); err == nil {
		err = closeErr
	}
	return result, err
}

func (c *controllers) print(out io.Writer, result printable) error {
	if !c.asJSON {
		return result.text(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result.value())
}

// positional returns the arguments that are no flags; flags may stand between
// and after them.
func positional(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, &UsageError{Problem: err.Error()}
		}
	}
	return args, nil
}

// report prints a failure and what belongs to it.
func report(out io.Writer, err error) {
	_, _ = fmt.Fprintln(out, "error: "+err.Error())
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return
	}
	for _, fault := range problem.Faults {
		_, _ = fmt.Fprintf(out, "  %s: %s\n", fault.Path, fault.Problem)
	}
	if len(problem.Changed) > 0 {
		_, _ = fmt.Fprintln(out, "changed meanwhile:")
		_ = printChanges(out, problem.Changed)
	}
}
