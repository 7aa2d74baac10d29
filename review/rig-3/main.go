// Command rig-3 plays the scripted cases of the third review: rig-3 CASE FOLDER.
package main

import (
	"fmt"
	"os"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripted cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"leaving":       leaving,
	"smuggled":      smuggled,
	"restored":      restored,
	"left":          left,
	"endless-heads": endlessHeads,
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "neighbour" {
		beNeighbour()
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig-3 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(folder)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return failed
	}
	defer w.close()
	w.note("case %s, with the disruption: %v", name, trouble)
	status, err := cases[name](w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		return failed
	}
	w.note("exit status %d", status)
	return status
}
