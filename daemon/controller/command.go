package controller

import "github.com/sycamorecourse/sycamorecourse/edge/operator"

// command is what an operator asks for. Its answer bears the ticket.
type command struct {
	ticket uint64
	operator.Command
}
