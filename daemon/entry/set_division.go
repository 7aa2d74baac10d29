package entry

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// setDivision sets this gateway's part of limits and budgets, and the number of
// other gateways that accept requests.
type setDivision struct {
	division   cluster.Division
	readyPeers int
}

func (setDivision) isDispatchMessage() {}
