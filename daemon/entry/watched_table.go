package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// watchedTable is a table that the watch duty follows.
type watchedTable struct {
	table string
	// cursor is how far the table has been read.
	cursor exchange.Cursor
	// needsList is set if the next call must read the whole table.
	needsList bool
	// calling is set while a call is in progress.
	calling bool
	// calledAt is when the last call was made, and heldFor how long the store was asked
	// to hold it.
	calledAt clock.Instant
	heldFor  time.Duration
	// calledSince is the version after which the last call asked for changes.
	calledSince uint64
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
	// gapAt is when the first call was made that has shown that the whole table must be read
	// again; 0 if none has since the last list, or since a call that has failed.
	gapAt clock.Instant
	// logged are the outcomes of updates of other timelines that were logged since the
	// present one began.
	logged map[exchange.Outcome]bool
}
