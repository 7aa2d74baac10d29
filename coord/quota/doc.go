// Package quota divides a limit, such as money an hour or requests a second,
// into slices that processes hold for a time. A process spends from its slice
// without asking anyone, and nothing once it does not hold one.
//
// One row for each limit is the ledger: the total and the grants. A [Slice] is
// the state machine of one holder. It returns the steps of package lease, and
// its grant expires as a lease does: by the holder's monotonic clock from before
// the write, less a margin, and by the watchers' own clocks after a whole TTL in
// which the grant was not renewed.
//
// # Invariants
//
//   - The sum of what all holders are told they may spend, dead and paused ones
//     included until their grants end, never exceeds the sum of the grants in
//     the ledger, and a grant is made or raised only within the total.
//   - A holder stops spending the difference before it asks to lower its grant,
//     and spends more only after it knows that its raised grant is written.
//   - A lowered total stops all growth at once. Each holder shrinks to its fair
//     share at its next renewal and a dead one's grant ends after the TTL, so
//     the sum only falls until it is within the new total.
//   - The total follows the highest configuration version that any holder knew,
//     so a process with an old configuration does not bring an old total back.
//   - When the total is short, holders converge to weighted max-min fair shares:
//     nobody gets more than it wants, and what is left is shared by weight.
//
// A duty that moves between processes under a lease may hold its slices under the
// name of the lease in place of a process, so that the next process takes them
// over at once. Then each spending must check the lease as well as the slice,
// since the former process still counts its grant as held.
//
// An obligation that outlives its holder, such as an instance that was started
// and goes on costing, is not part of the ledger once the grant has ended: the
// successor must count what is running before it spends.
//
// The holders renew one row, so a limit fits some tens of them. Hundreds of
// processes get their parts from a holder that divides its slice by [Share].
//
// # Alternatives
//
// A counter in the table service for each spending would be exact, and a write
// for each request. A single allocator under a lease would make fewer writes,
// and its death would hold up all growth for a lease. A row for each grant
// spreads the writes, but needs a transaction over all rows to keep the sum.
package quota
