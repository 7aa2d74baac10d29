package script

import (
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// awaitPause is the time between two tries of an awaited command.
const awaitPause = 100 * time.Millisecond

func elapse(_ *World, args []string) error {
	if len(args) != 1 {
		return &UsageError{Usage: "elapse DURATION"}
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	pause(d)
	return nil
}

func await(w *World, args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "await SECONDS COMMAND..."}
	}
	seconds, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	awaited := commands()[args[1]]
	if awaited == nil {
		return &UnknownNameError{Name: args[1]}
	}
	limit := time.Now().Add(time.Duration(seconds) * time.Second)
	for {
		err := awaited(w, args[2:])
		if err == nil || time.Now().After(limit) {
			return err
		}
		pause(awaitPause)
	}
}

// pause parks this thread for a time.
func pause(d time.Duration) {
	// Nothing is offered to this ring.
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(d)
}
