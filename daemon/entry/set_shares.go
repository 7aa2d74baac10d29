package entry

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// setShares says how limits and budgets are divided, and how many other gateways
// take requests.
type setShares struct {
	division cluster.Division
	others   int
}

func (setShares) isDispatchMessage() {}
