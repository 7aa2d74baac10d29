package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// newsReceived is the result of polling a hub.
type newsReceived struct {
	hub    string
	sentAt clock.Instant
	// request is the poll.
	request exchange.Poll
	news    exchange.News
	err     error
}

func (newsReceived) isPeerMessage() {}
