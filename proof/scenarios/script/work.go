package script

import (
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
)

func mark(w *World, args []string) error {
	if len(args) != 1 {
		return &UsageError{Usage: "mark NAME"}
	}
	w.marks[args[0]] = time.Now()
	return nil
}

// idleSince checks that engines got no new work later than some seconds after
// a mark.
func idleSince(w *World, args []string) error {
	if len(args) < 3 {
		return &UsageError{Usage: "idle-since MARK SECONDS ADDRESS..."}
	}
	at, ok := w.marks[args[0]]
	if !ok {
		return &UnknownNameError{Name: args[0]}
	}
	seconds, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	limit := at.Add(time.Duration(seconds) * time.Second)
	for _, address := range args[2:] {
		if err := w.idleAfter(address, at, limit); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) idleAfter(address string, at, limit time.Time) error {
	seen, err := witness.ReadEngine(w.fetch, address)
	if err != nil {
		return err
	}
	last := time.Time{}
	for _, request := range seen.Requests {
		for _, run := range request.Runs {
			queued := time.UnixMilli(run.QueuedAtMillis)
			if queued.After(limit) {
				return &LateWorkError{Address: address, Request: request.RequestID, After: queued.Sub(at)}
			}
			if queued.After(last) {
				last = queued
			}
		}
	}
	w.script.Logf("last new work at %s %v after the mark", address, last.Sub(at))
	return nil
}
