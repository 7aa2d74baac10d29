package process

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

const (
	// readyPatience bounds the wait for a process to get ready.
	readyPatience = 30 * time.Second
	// endPatience bounds the wait for a process to end.
	endPatience = 90 * time.Second
	// startedSuffix ends the event with which a daemon says that it is ready.
	startedSuffix = "_started"
)

// Process is a child process. One thread uses it.
type Process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	waiter  *thread.Thread
	found   *ring.Ring[Fields]
	ended   *ring.Ring[exited]
	isOver  bool
}

// Start starts a program and returns the fields with which it said that it was
// ready. Its output goes to a file.
func Start(name, path, logFile string, environment, args []string) (*Process, Fields, error) {
	p := &Process{
		name:    name,
		command: exec.Command(path, args...),
		found:   ring.New[Fields]("ready", 1),
		ended:   ring.New[exited]("ended", 1),
	}
	p.command.Env = environment
	if err := p.open(logFile); err != nil {
		return nil, nil, err
	}
	fields, ok, err := p.found.TakeUntil(readyPatience)
	if err != nil || !ok {
		_ = p.Kill()
		return nil, nil, &NotReadyError{Name: name}
	}
	return p, fields, nil
}

// open starts the process and the readers of its outputs.
func (p *Process) open(logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return err
	}
	p.log = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	events, err := p.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := Seal(); err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	documents := &output{from: out, to: log, ready: parseDocument, found: p.found}
	lines := &output{from: events, to: log, ready: parseStarted, found: p.found}
	readers := []*thread.Thread{
		thread.Start("stdout", documents.run),
		thread.Start("stderr", lines.run),
	}
	p.waiter = thread.Start("wait", func() error { return p.wait(readers) })
	return nil
}

// wait is the duty that waits for the end of the process.
func (p *Process) wait(readers []*thread.Thread) error {
	for _, t := range readers {
		if err := t.Join(); err != nil {
			return err
		}
	}
	err := p.command.Wait()
	p.found.Close()
	return p.ended.Offer(exited{status: p.command.ProcessState.ExitCode(), err: err})
}

// parseStarted reads the event with which a daemon says that it is ready.
func parseStarted(line string) (Fields, bool) {
	fields := parseLine(line)
	return fields, strings.HasSuffix(fields["event"], startedSuffix)
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	if p.isOver {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	_, err := p.end()
	return err
}

// Stop asks the process to end and checks its exit status.
func (p *Process) Stop(expected int) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	status, err := p.end()
	if err != nil {
		return err
	}
	if status != expected {
		return &StatusError{Name: p.name, Status: status, Expected: expected}
	}
	return nil
}

// LogFile returns the path of the file with the output.
func (p *Process) LogFile() string {
	return p.log.Name()
}

func (p *Process) end() (int, error) {
	e, ok, err := p.ended.TakeUntil(endPatience)
	if err != nil || !ok {
		return 0, &NotEndedError{Name: p.name}
	}
	p.isOver = true
	if err := p.waiter.Join(); err != nil {
		return 0, err
	}
	return e.status, p.log.Close()
}

// PID returns the identity of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}
