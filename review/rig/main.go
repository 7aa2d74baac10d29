// Command rig plays the cases of this review. Each case starts the project's
// programs as separate processes on loopback, next to stand-ins of the store,
// the platform's API, the replicas and the requesters.
//
// Usage: rig CASE FOLDER. It writes FOLDER/record.txt and exits with 0 if the
// rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name; each file of a case adds its own. A case returns
// whether the rule was broken.
var cases = make(map[string]func(*world) (bool, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.logf("the case could not run: %v", err)
		return exitNotRun
	}
	defer w.stop()
	w.stopOnSignal()
	record.logf("case %s, disruption %v", name, w.trouble)
	broken, err := cases[name](w)
	switch {
	case err != nil:
		record.logf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.logf("RESULT: the rule was broken")
		return exitBroken
	default:
		record.logf("RESULT: the rule held")
		return exitHeld
	}
}
