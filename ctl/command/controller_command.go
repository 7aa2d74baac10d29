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

// controllerExitUsage documents the exit statuses of the commands that call
// controllers.
const controllerExitUsage = `  Exit status: 0 success, 1 failure, 2 usage, 3 conflict, 4 no controller
  answered, 5 confirmed but not in force everywhere yet.
`

// controllerCommand is embedded in all commands that call controllers. It
// provides their common flags, the call and the output as text or JSON.
type controllerCommand struct {
	set       *settings.Set
	addresses []string
	timeout   time.Duration
	asJSON    bool
}

func (c *controllerCommand) declare(f *flag.FlagSet) {
	c.set = settings.New(f)
	c.set.Addresses(&c.addresses, "controllers", "", "operator addresses of the controllers, tried in turn", true)
	c.set.Duration(&c.timeout, "timeout", 10*time.Second, "the time limit of one call", 10*time.Millisecond, 10*time.Minute)
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// run parses exactly argCount positional arguments, opens a client, calls act and
// prints its result. It returns the exit status of the command.
func (c *controllerCommand) run(f *flag.FlagSet, argCount int, act func(client *operator.Client, args []string) (commandResult, error)) subcommands.ExitStatus {
	result, err := c.call(f, argCount, act)
	if err != nil {
		printError(os.Stderr, err)
		return exitStatusOf(err)
	}
	if err := c.print(os.Stdout, result); err != nil {
		return subcommands.ExitFailure
	}
	return result.exitStatus()
}

// call is run without the output: it returns the result or the error.
func (c *controllerCommand) call(f *flag.FlagSet, argCount int, act func(*operator.Client, []string) (commandResult, error)) (commandResult, error) {
	args, err := positional(f)
	if err != nil {
		return nil, err
	}
	if len(args) != argCount {
		return nil, &UsageError{Problem: fmt.Sprintf("expected %d arguments, got %d", argCount, len(args))}
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

func (c *controllerCommand) print(out io.Writer, result commandResult) error {
	if !c.asJSON {
		return result.writeText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result.jsonValue())
}

// positional returns the positional arguments. Unlike the flag package, it allows
// flags between and after them.
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

// printError prints an error, and for an operator.Problem the violations of the
// intent and the changes that made the plan stale.
func printError(out io.Writer, err error) {
	_, _ = fmt.Fprintln(out, "error: "+err.Error())
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return
	}
	for _, violation := range problem.Faults {
		_, _ = fmt.Fprintf(out, "  %s: %s\n", violation.Path, violation.Problem)
	}
	if len(problem.Changed) > 0 {
		_, _ = fmt.Fprintln(out, "changed since the plan was made:")
		_ = printChanges(out, problem.Changed)
	}
}
