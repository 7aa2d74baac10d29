// Package order decides which orders engines are given.
//
// An order tells an engine its DesiredState: models, adapters and role. An
// engine gets one when the State that it last reported doesn't reflect it.
// NextOrders chooses the engines whose turn it is: few load weights at a time,
// and a controller that has just acquired the lease waits before it gives orders
// to engines that don't check fencing numbers. DueReads chooses the engines
// whose state is to be read.
package order
