// Package confirm stores a chain of versioned configurations in the table
// service and distributes it to processes. A version is confirmed, that is,
// takes effect, by one conditional transaction; a process never goes back to a
// lower version.
//
// A [Confirmation] confirms one proposed configuration. A [Bootstrap] chooses
// the first configuration of a new process, and a [Follower] holds the current
// one. A [Tracker] and a [Rollout] determine when all live processes have a
// version.
//
// # Invariants
//
//   - Version n+1 is confirmed only on top of version n: one transaction advances
//     the head row from n to n+1 and inserts the row of version n+1. The version
//     of a configuration equals the version of the head row.
//   - The row of a version is never overwritten, and exists only if the version
//     was confirmed. A process that reads it, or gets it from a process that did,
//     therefore holds a confirmed configuration.
//   - Confirming a plan is idempotent, also if it is repeated later, by another
//     process or after a lost response: a plan made against version n can only
//     become version n+1, whose row names the plan.
//   - A [Follower] accepts only higher versions, so it never reverts during the
//     life of a process. A new process takes the configuration from the table
//     service or, if that does not answer, the highest of several peers.
//
// A failover needs no handover of state: any process can confirm, and the table
// service decides between processes that do so concurrently.
//
// # Alternatives
//
// A lease for a single confirming process would add a delay after its death and
// protect nothing beyond the condition on the head row.
//
// A log of changes instead of whole configurations is smaller on the wire, but a
// process that missed a change must fetch the gap. Whole versions have no gaps,
// and the rate of changes is low.
//
// Majority reads among peers, instead of the highest of several, would need a
// fixed set of peers, which reclaimable instances are not.
package confirm
