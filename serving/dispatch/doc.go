// Package dispatch decides what happens to each request from its arrival to its
// end: when it starts, at which upstream, whether it is tried again, moved or
// given up, and what its callers are told.
//
// Core is a state machine owned by one thread. Its methods take what happened
// and an instant; what is to be done comes out of Actions. It does no I/O.
package dispatch
