package controller

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// Engines reads the state of engines and gives them orders. Each call returns
// at once; done is called later on a thread that must not be held up.
type Engines interface {
	// State reads the state of the engine at an address.
	State(address string, done func(*order.State, error))
	// Order gives an order and reads the state. It fails with a *StaleError of
	// package order when the engine refused the fencing number.
	Order(address string, fence uint64, w order.DesiredState, done func(*order.State, error))
}
