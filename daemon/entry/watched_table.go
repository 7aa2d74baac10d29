package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// watchedTable is a table that the watch duty follows.
type watchedTable struct {
	table string
	// version is the store's version at the last response; 0 until the whole table
	// has been read.
	version uint64
	// needsList is set if the next call must read the whole table.
	needsList bool
	// needsOrders is set if the next call must read the whole table for the orders of
	// roll-outs in it.
	needsOrders bool
	// calling is set while a call is in progress.
	calling bool
	// calledAt is when the last call was made, and heldFor how long the store was asked
	// to hold it.
	calledAt clock.Instant
	heldFor  time.Duration
	// nextCallAt is the earliest time of the next call, after a failure or a batch
	// delay.
	nextCallAt clock.Instant
	// newsUntil is until when the news of a hub replace calls to the store.
	newsUntil clock.Instant
	// throttled counts the calls that the store has rejected for their number since
	// the last successful one.
	throttled int
	// isUnavailable is set after a failed call until the next successful one.
	isUnavailable bool
	// updatedAt is the time of the last successful call.
	updatedAt clock.Instant
	// timeline is the store's timeline at the last update that was applied.
	timeline uint64
	// logged is the last outcome of an update of another timeline that was logged.
	logged tableOutcome
}
