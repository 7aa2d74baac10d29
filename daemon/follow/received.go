package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// received is a message from a peer.
type received struct {
	from    string
	message spread.Message
}

func (received) isEvent() {}
