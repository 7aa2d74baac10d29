// Package roster decides which upstreams may get requests, from a list that is
// watched over a store that can be away.
//
// # Invariants
//
//   - An upstream that says that it leaves is out at once.
//   - One whose entry is removed is out at once, but for removals that come
//     shortly after the store was away: entries lapse then though their upstreams
//     live, and come back. Such an upstream stays for Grace after the return.
//   - While the store is away, the last list holds.
package roster
