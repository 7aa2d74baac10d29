package controller

import "github.com/sycamorecourse/sycamorecourse/serving/order"

// engineAnswer is the answer of an engine to a read of its state or an order.
type engineAnswer struct {
	instance string
	state    *order.State
	err      error
}
