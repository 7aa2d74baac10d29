// Package roster decides which upstreams may receive requests. It follows the
// upstream entries of a store that may be unavailable at times.
//
// # Invariants
//
//   - An upstream that is marked as leaving is unusable at once.
//   - So is one that has said in an answer that it is leaving, until it starts anew,
//     whatever an entry says that is behind.
//   - An upstream whose entry is removed is unusable at once, unless the store
//     has just become available again. Entries of live upstreams expire while
//     the store is unavailable, and are written again afterwards. So upstreams
//     whose entries are removed within the grace period stay usable until it
//     ends.
//   - What is known of an incarnation is not taken back by a store that was restored from
//     an older copy: it stays leaving, and if its entry had ended it stays unusable until
//     the store has a change of it, or until others have had the time to write again.
//   - While the store is unavailable, the last known list stays in use.
package roster
