// Package member keeps each process's view of which others are there, which are
// leaving and which are gone, and chooses whom it keeps links to.
//
// Every process sends a [Heartbeat] on its few links, and watches the
// neighbours that it chose by its own monotonic clock. Changes travel along the
// links as an [Update] each, and a whole snapshot only when a link is new or the
// digests of its two ends differ. So the traffic of a process does not grow with
// the number of processes, but with the number of changes.
//
// # Invariants
//
//   - A process that has announced that it leaves never counts as live again in
//     the same incarnation, whatever older news comes late.
//   - Within one incarnation, of two updates the one with the higher counter
//     wins, and at the same counter the worse one. Only the process itself raises
//     its counter, so every suspicion is either refuted by it or confirmed. All
//     views that have seen the same updates are equal, in whatever order.
//   - A later incarnation replaces an earlier one. Incarnations of one instance
//     must grow with each start.
//   - A process that was itself stopped does not blame its neighbours for the
//     heartbeats that it did not take in.
//   - A process that was thought gone, as after a partition, comes back by a
//     higher counter.
//
// The view is a hint for routing, links and waits. It never decides who may act:
// that takes a lease, a claim or a slice.
//
// # Alternatives
//
// Heartbeats in rows of the table service would be reads and writes that grow
// with the processes, and would end with its outages. All-to-all heartbeats grow
// with the square. Random probes of SWIM spread the watching evenly, but reach a
// given process only by chance within seconds; fixed neighbours bound the time
// to suspicion, and need links that are there for configuration anyway.
//
// For the links, rendezvous hashing alone gives no connected graph and uneven
// numbers of incoming links. Rings in hashed orders are connected, have the same
// links at both ends and, as a union of random cycles, short paths; rendezvous
// hashing fills up and adds a link out of the failure domain where the rings
// give none.
package member
