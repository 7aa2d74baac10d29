package script

import "github.com/rogpeppe/go-internal/testscript"

// Key names the World among the values of a script.
type Key struct{}

// Commands returns the commands for testscript.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	adapted := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands() {
		adapted[name] = adapt(c)
	}
	return adapted
}

func adapt(c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(Key{}).(*World)
		w.script = ts
		err := c(w, args)
		switch {
		case err != nil && !neg:
			ts.Logf("%s", w.Logs())
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("the command succeeded")
		}
	}
}
