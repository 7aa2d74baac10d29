package controller

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// engineResult is the result of reading an engine's state or sending it an
// order.
type engineResult struct {
	engine *order.Engine
	// tenure is that in which the call was made.
	tenure uint64
	state  *order.State
	err    error
}
