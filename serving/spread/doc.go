// Package spread disseminates cluster state between processes by gossip: the
// newest confirmed configuration, the view of the fleet, reclaim notices, the
// list of members, and which members hold which configuration version.
//
// A Node holds the state of one process. Its methods take an event and the
// current time and return the actions to perform; a Node does no I/O and no
// encoding.
//
// # Invariants
//
//   - A node pushes changes over a bounded number of links.
//   - Heartbeats summarize the sender's state in versions and digests, and a
//     node that is behind requests what it lacks. So messages may be lost,
//     duplicated or reordered.
//   - Heartbeats do not cover reclaim notices, which are pushed when they are
//     learned and whenever a link comes up.
package spread
