package dump

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// Cluster is the cluster duty's section of a state dump.
type Cluster struct {
	Live []cluster.Record `json:"live"`
	// Gateways are all that have a record, those that have fallen silent included.
	Gateways []cluster.PeerState `json:"gateways"`
	Ready    bool                `json:"ready"`
	Holds    bool                `json:"holds_duties"`
	Fence    uint64              `json:"fence"`
	Barred   uint64              `json:"barred_fence"`
	Reported int64               `json:"last_reported_window"`
}
