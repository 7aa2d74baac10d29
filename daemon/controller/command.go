package controller

import "github.com/sycamorecourse/sycamorecourse/edge/operator"

// command is an operator's command. Its result has the same request ID.
type command struct {
	requestID uint64
	operator.Command
}
