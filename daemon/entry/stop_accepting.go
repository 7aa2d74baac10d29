package entry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// stopAccepting makes dispatch refuse requests that may not end by an instant. Up to
// longStreamsUntil it accepts streams that no other gateway can take.
type stopAccepting struct {
	until            clock.Instant
	longStreamsUntil clock.Instant
}

func (stopAccepting) isDispatchMessage() {}
