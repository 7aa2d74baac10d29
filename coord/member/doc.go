// Package member implements a gossip-based membership protocol. Each process
// keeps a [View] of which other processes are live, suspected, leaving or gone,
// and chooses the few neighbours that it keeps links to.
//
// Every process sends a [Heartbeat] on each of its links and monitors the
// neighbours that it chose, by its own monotonic clock. Each change is gossiped
// along the links as an [Update]. A whole snapshot is exchanged only if a link is
// new or if the digests of its two ends differ. The traffic of a process
// therefore grows with the number of changes, not with the number of processes.
//
// # Invariants
//
//   - A process that has announced that it is leaving never counts as live again
//     in the same incarnation, even if older updates arrive late.
//   - Of two updates of one incarnation, the one with the higher counter wins,
//     and at equal counters the worse state. Only the process itself raises its
//     counter, so every suspicion is either refuted by it or confirmed. Views
//     that have received the same updates, in any order, are equal.
//   - A later incarnation replaces an earlier one. The incarnations of an instance
//     must increase with each start.
//   - A process that was paused does not suspect its neighbours because of
//     heartbeats that it did not receive during the pause.
//   - A process that was believed gone, for instance after a partition, returns
//     by raising its counter.
//
// A view is a hint for routing, links and timeouts. It never decides which
// process may act; that takes a lease, a claim or an allocation of a quota.
//
// # Alternatives
//
// Heartbeats in rows of the table service would cost reads and writes that grow
// with the number of processes, and would stop during its outages.
//
// All-to-all heartbeats grow with the square of the number of processes.
//
// The random probes of SWIM spread the monitoring evenly, but reach a given
// process within seconds only by chance. Fixed neighbours bound the time to
// suspicion, over links that are needed for configuration anyway.
//
// Rendezvous hashing alone, as a choice of links, does not guarantee a connected
// graph and distributes incoming links unevenly. Rings in hashed orders are
// connected, are symmetric and, as a union of random cycles, have short paths.
// Rendezvous hashing adds the links that the rings do not give, including one to
// another failure domain.
package member
