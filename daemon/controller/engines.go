package controller

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// Engines reads the state of engines and sends them orders. All calls are
// asynchronous: done runs later on a thread of the client and must not block.
type Engines interface {
	// State reads the state of the engine at an address.
	State(address string, done func(*order.State, error))
	// Order sends an order and reads the resulting state. It fails with an
	// *order.StaleError if the engine rejected the fencing number.
	Order(address string, fence uint64, desired order.DesiredState, done func(*order.State, error))
}
