// Package quota divides a limit, such as a budget, into allocations that
// processes hold for a limited time. A process spends from its allocation without
// asking anyone, and spends nothing once its allocation has expired.
//
// Each limit has one row in the table service: the ledger, with the total and the
// grants. An [Allocation] is the state machine of one holder and its grant. It
// returns the steps of package lease, and its grant expires like a lease: for the
// holder by its own monotonic clock, counted from before the write, less a margin;
// for other holders by their clocks, once they have not seen the grant renewed for
// a whole TTL.
//
// # Invariants
//
//   - The sum of what all holders may spend never exceeds the sum of the grants in
//     the ledger. This includes dead and paused holders until their grants expire.
//     A grant is created or raised only within the total.
//   - A holder stops spending the difference before it requests a lower grant, and
//     spends more only after it knows that the higher grant is written.
//   - A lower total stops all growth at once. Each holder shrinks to its fair share
//     at its next renewal, and the grant of a dead one expires after the TTL. The
//     sum of the grants can therefore only fall until it is within the new total.
//   - The total is that of the highest configuration version that any holder knew,
//     so a process with an old configuration does not restore an old total.
//   - When the total is too small for all demands, the grants converge to weighted
//     max-min fair shares: nobody gets more than it demands, and the rest is
//     divided by weight.
//
// A duty that moves between processes under a lease may hold its allocations in
// the name of the lease instead of a process, so that the next process takes them
// over at once. Every spending must then check the lease as well as the
// allocation, since the previous process still counts the grant as its own.
//
// An obligation that outlives its holder, such as an instance that keeps costing
// after it was started, is not in the ledger once the grant has expired. The
// successor must determine what is running before it spends.
//
// All holders of a limit renew the same row, so a limit supports some tens of
// them. Hundreds of processes get their parts from a holder that divides its
// allocation by [Share].
//
// # Alternatives
//
// A counter in the table service that is changed for each spending would be exact,
// but costs one write per request.
//
// A single allocator under a lease would need fewer writes, but its death would
// stop all growth for the length of a lease.
//
// A row for each grant would spread the writes, but needs a transaction over all
// rows to limit the sum.
package quota
