package orders

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// body is the body of POST /v1/orders.
type body struct {
	// Fencing is the fencing number of the controller's lease.
	Fencing uint64 `json:"fencing"`
	// Wanted is the state that the engine should come to.
	Wanted order.DesiredState `json:"wanted"`
}
