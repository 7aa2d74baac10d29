package entry

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// setHubs sets the gateways that follow the store for the others.
type setHubs struct {
	hubs []cluster.Record
}

func (setHubs) isPeerMessage() {}
