// Package exchange decides how gateways pass news on to each other, so that the
// load on the platform's store does not grow with the square of their number.
//
// A few gateways, the hubs, follow the store directly. The others poll a hub of
// their failure domain: a [Poll] carries the record of the gateway that polls, and
// the [News] in return holds the records and the rows of the followed tables that
// have changed since its last one. Hubs poll each other in the same way, so a
// record reaches all gateways within a few polls.
//
// Every follower of a table, of the store's feed as of a hub's news, has a [Cursor], which
// alone decides whether an update counts: the store may have been restored from an older
// copy and give versions out again.
//
// # Invariants
//
//   - A row is passed on with the version that the store gave it, so a gateway may
//     go on with the store, or with another hub, from the version it has.
//   - News says how old the hub's own knowledge of each table is. A gateway that
//     gets no current news within a short time follows the store itself.
//   - The store stays the only place where anything lasts. A hub that dies, freezes
//     or is cut off costs the others a failed poll and nothing else.
package exchange
