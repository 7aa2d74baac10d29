package orders

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	// Fencing is the fencing number of the controller's lease. An engine refuses a
	// number that is lower than one it has seen.
	Fencing uint64 `json:"fencing"`
	// Desired is the state that the engine should reach.
	Desired order.DesiredState `json:"wanted"`
}
