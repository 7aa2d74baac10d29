package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// messageReceived is a message from a peer.
type messageReceived struct {
	from    string
	message spread.Message
}

func (messageReceived) isEvent() {}
