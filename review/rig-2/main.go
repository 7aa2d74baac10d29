// Command rig2 plays the scripts of the second independent review: it starts small
// stand-ins of the platform's store, its API and the replicas, and the real processes of
// the system as the deploy file says, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// cases holds the scripts by name. Each returns true if the rule held.
var cases = map[string]func(*world) bool{
	"partial-bodies": partialBodies,
	"open-heads":     openHeads,
	"slow-readers":   slowReaders,
	"held-up":        heldUpRequests,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	held := cases[os.Args[1]](w)
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	if !held {
		w.note("result: the rule was broken")
		os.Exit(1)
	}
	w.note("result: the rule held")
}
