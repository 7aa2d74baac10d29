package process

import (
	"os/exec"
	"path/filepath"
	"strings"
)

// The programs.
const (
	// Daemon is the program of gateways and controllers.
	Daemon = "sycamored"
	// Control is the operators' and callers' command line.
	Control = "sycamorectl"
)

// Programs are the programs as built once for all scripts.
type Programs struct {
	directory string
}

// Build builds the programs into a directory.
func Build(directory string) (*Programs, error) {
	root := filepath.Join("..", "..")
	command := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "./daemon/"+Daemon, "./ctl/"+Control)
	command.Dir = root
	out, err := command.CombinedOutput()
	if err != nil {
		return nil, &BuildError{Output: strings.TrimSpace(string(out)), Err: err}
	}
	return &Programs{directory: directory}, nil
}

// Path returns the path of a program.
func (p *Programs) Path(program string) string {
	return filepath.Join(p.directory, program)
}

// Directory returns where the programs are.
func (p *Programs) Directory() string {
	return p.directory
}
