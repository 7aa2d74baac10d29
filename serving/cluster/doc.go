// Package cluster keeps what the gateways tell each other through rows of the
// platform's store: who serves, at which address, and what each has counted.
//
// Each gateway writes one row at every heartbeat and reads all rows. A gateway
// counts as live while its row changes. Silence is judged by the reader's own
// steady clock, and only over time in which reads succeed: a store that is away
// declares nobody dead.
package cluster
