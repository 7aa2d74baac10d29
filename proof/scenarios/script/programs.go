package script

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
)

// prints runs a program that must succeed and print what matches.
func prints(w *World, args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "prints REGEXP PROGRAM ARGS..."}
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return err
	}
	out, status, err := w.run(args[1:])
	if err != nil {
		return err
	}
	if status != 0 || !pattern.MatchString(out) {
		return &MismatchError{What: "output with status " + strconv.Itoa(status), Found: out, Expected: args[0]}
	}
	// A group of the pattern becomes a variable.
	if found := pattern.FindStringSubmatch(out); len(found) > 1 {
		w.script.Setenv("found", found[1])
	}
	return nil
}

// exits runs a program that must end with one of the given statuses.
func exits(w *World, args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "exits STATUS PROGRAM ARGS..."}
	}
	out, status, err := w.run(args[1:])
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(args[0], "|"), strconv.Itoa(status)) {
		return &MismatchError{What: "exit status, with output " + out, Found: strconv.Itoa(status), Expected: args[0]}
	}
	return nil
}

// run runs a program to its end and returns its whole output and its status.
func (w *World) run(args []string) (string, int, error) {
	command := exec.Command(w.programs.Path(args[0]), args[1:]...)
	command.Env = w.environment()
	command.Dir = w.directory
	if err := process.Seal(); err != nil {
		return "", 0, err
	}
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", 0, err
	}
	return string(out), command.ProcessState.ExitCode(), nil
}

// logged looks for a line in the log of a process.
func logged(w *World, args []string) error {
	if len(args) != 2 {
		return &UsageError{Usage: "logged NAME REGEXP"}
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return err
	}
	text, err := os.ReadFile(p.LogFile())
	if err != nil {
		return err
	}
	if !pattern.Match(text) {
		return &MismatchError{What: "log of " + args[0], Found: tail(p.LogFile()), Expected: args[1]}
	}
	return nil
}
