package script

import (
	"strconv"
	"syscall"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
)

func up(w *World, args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "up NAME PROGRAM ARGS..."}
	}
	name := args[0]
	p, fields, err := process.Start(name, w.programs.Path(args[1]), w.logFile(name), w.environment(), args[2:])
	if err != nil {
		return err
	}
	w.processes[name] = p
	for field, value := range fields {
		w.script.Setenv(name+"_"+field, value)
	}
	return nil
}

func terminate(w *World, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return &UsageError{Usage: "terminate NAME [STATUS]"}
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	expected := 0
	if len(args) == 2 {
		if expected, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	return p.Stop(expected)
}

func crash(w *World, args []string) error {
	p, err := w.onlyProcess("crash NAME", args)
	if err != nil {
		return err
	}
	return p.Kill()
}

func freeze(w *World, args []string) error {
	p, err := w.onlyProcess("freeze NAME", args)
	if err != nil {
		return err
	}
	return p.Signal(syscall.SIGSTOP)
}

func thaw(w *World, args []string) error {
	p, err := w.onlyProcess("thaw NAME", args)
	if err != nil {
		return err
	}
	return p.Signal(syscall.SIGCONT)
}

// onlyProcess returns the process that the only argument names.
func (w *World) onlyProcess(usage string, args []string) (*process.Process, error) {
	if len(args) != 1 {
		return nil, &UsageError{Usage: usage}
	}
	return w.process(args[0])
}
