package entry

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// setHubs sets the gateways that follow the store for the others, and the number of
// all gateways.
type setHubs struct {
	hubs     []cluster.Record
	gateways int
}

func (setHubs) isPeerMessage() {}
