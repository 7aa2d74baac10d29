package scenarios

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/script"
)

// knownRedFile lists the scripts that fail for a real fault.
var knownRedFile = filepath.Join("..", "..", "KNOWN-RED.txt")

func TestScenarios(t *testing.T) {
	netlog.Install(zerolog.Nop())
	programs, err := process.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files:              green(t),
		Cmds:               script.Commands(),
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			w, err := script.Open(programs, env.WorkDir)
			if err != nil {
				return err
			}
			env.Values[script.Key{}] = w
			env.Defer(func() {
				if err := w.Close(); err != nil {
					t.Error(err)
				}
			})
			return shared(env.WorkDir)
		},
	})
}

// green returns the scripts that must pass, and prints the others.
func green(t *testing.T) []string {
	t.Helper()
	red, err := knownRed(knownRedFile)
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join("scripts", "*.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if entry, ok := red[name]; ok {
			t.Logf("known red: %s: %s", name, entry)
			continue
		}
		list = append(list, file)
	}
	return list
}
