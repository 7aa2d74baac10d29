// Package order decides which orders engines are given: which state each should
// come to, in which sequence they load, and when a new holder of the lease may
// give orders to engines that don't check fencing numbers.
package order
