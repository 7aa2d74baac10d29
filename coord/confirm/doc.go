// Package confirm keeps a chain of configurations in the table service, of
// which each version takes effect by one conditional transaction, and spreads
// them to processes that only ever move forward.
//
// # Invariants
//
//   - Version n+1 is confirmed only against version n: one transaction moves
//     the head row from n to n+1 and inserts the row of version n+1. The
//     version of a configuration is the version of the head row.
//   - The row of a version is never written again. It exists only if the
//     version was confirmed, so that a process which reads it, or gets it from
//     one that did, holds a confirmed configuration.
//   - Confirming a plan twice, at once or later, on the same or another
//     process, after a lost answer or not, has the effect of once: a plan made
//     against version n can only ever be version n+1, whose row names the plan.
//   - A [Follower] takes only higher versions, so it never reverts within the
//     life of a process. A new process takes the configuration from the table
//     service, or without it the highest of several peers ([Bootstrap]).
//
// Under failover nothing has to be handed over: any process can confirm, and
// the table service decides between two that do so at once.
//
// # Alternatives
//
// A lease for the one process that confirms would add a wait after its death
// and protect nothing more than the condition on the head does. A log of
// changes instead of whole configurations is smaller on the wire, but a process
// that missed one must fetch the gap; whole versions need none and the rate of
// changes is low. Majority reads among peers in place of "the highest of
// several" would need a fixed set of peers, which reclaimable instances are not.
package confirm
