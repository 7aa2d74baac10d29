package script

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/fetch"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
)

// World is what a script has started.
type World struct {
	programs  *process.Programs
	directory string
	script    *testscript.TestScript
	fetch     *fetch.Client
	processes map[string]*process.Process
	relays    map[string]*relay.Relay
	callers   map[string]*callers.Group
	marks     map[string]time.Time
}

// Open makes the world of a script, whose files are in a directory.
func Open(programs *process.Programs, directory string) (*World, error) {
	client, err := fetch.Open()
	if err != nil {
		return nil, err
	}
	w := &World{
		programs:  programs,
		directory: directory,
		fetch:     client,
		processes: make(map[string]*process.Process),
		relays:    make(map[string]*relay.Relay),
		callers:   make(map[string]*callers.Group),
		marks:     make(map[string]time.Time),
	}
	return w, w.writeKeys()
}

// Close ends all that the script left running.
func (w *World) Close() error {
	var first error
	note := func(err error) {
		if err != nil && first == nil {
			first = err
		}
	}
	for _, p := range w.processes {
		note(p.Kill())
	}
	for _, g := range w.callers {
		_, err := g.Stop()
		note(err)
	}
	for _, r := range w.relays {
		note(r.Close())
	}
	note(w.fetch.Close())
	return first
}

// tailLines is the number of lines shown of each log.
const tailLines = 12

// Logs returns the ends of the logs of all processes.
func (w *World) Logs() string {
	var out strings.Builder
	for name, p := range w.processes {
		out.WriteString("-- " + name + "\n" + tail(p.LogFile()))
	}
	return out.String()
}

func tail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error() + "\n"
	}
	lines := strings.SplitAfter(string(text), "\n")
	return strings.Join(lines[max(len(lines)-tailLines, 0):], "")
}

func (w *World) logFile(name string) string {
	return filepath.Join(w.directory, name+".log")
}

func (w *World) process(name string) (*process.Process, error) {
	p := w.processes[name]
	if p == nil {
		return nil, &UnknownNameError{Name: name}
	}
	return p, nil
}

// environment is that of the programs: settings come by flags alone.
func (w *World) environment() []string {
	return []string{"HOME=" + w.directory, "PATH=" + w.programs.Directory(), "USER=operator"}
}
