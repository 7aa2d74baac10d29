// Package history runs the state machines of the coordination library in many
// simulated processes with clocks of their own, on a table with faults, and
// checks the histories of these runs.
//
// A run is one thread and a queue of events in virtual time; a seed repeats it
// exactly. Processes are paused and crash and restart with a new incarnation.
// The table loses answers, applies writes late or twice, and is away at times. In some
// runs of leases it is restored from older copies of itself.
//
// Each kind of run has switches that take one protection away, in the code
// around the state machines. The tests ask that runs without a switch show no
// violation, and that runs with one do.
package history
