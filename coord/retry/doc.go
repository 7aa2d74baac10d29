// Package retry decides whether and when a failed attempt is tried again.
//
// # Invariants
//
//   - The attempts that are made on account of one failure domain are at most
//     1+Ratio for each request sent there first: a retry spends a token of the
//     domain that failed, and only requests earn tokens. A domain that is lost
//     at once does not multiply the load on the others.
//   - Only a failure that is safe to repeat is retried: the request is
//     idempotent, or it is proven that it was not run.
//   - No retry starts that could not end before the deadline of the request.
//
// The budget is local to a process and needs no agreement; the bound holds for
// the sum, since it holds for each.
//
// # Alternatives
//
// A fixed number of tries for each request multiplies the load by that number
// just when capacity is lost. A budget for each time interval must be sized to
// the load. A share of the requests follows the load by itself. Full jitter was
// preferred to equal jitter, which keeps a part of the synchronisation of
// clients that failed together.
package retry
