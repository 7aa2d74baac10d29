// Package retry decides whether and when a failed attempt of a request is
// retried.
//
// # Invariants
//
//   - For each failure domain, the total number of attempts is at most 1+Ratio
//     times the number of requests sent there first, where Ratio is
//     [Config.RatioPerMille] / 1000. A retry withdraws a token from the [Budget]
//     of the domain of the first attempt, and only requests deposit tokens. The
//     sudden loss of a domain therefore does not multiply the load on the others.
//   - A failure is retried only if that is safe: the request is idempotent, or it
//     is proven that it was not run.
//   - A retry starts only if it can end before the deadline of the request.
//
// A budget is local to a process and needs no agreement with others: since the
// bound holds in each process, it holds for their sum.
//
// # Alternatives
//
// A fixed number of tries per request multiplies the load by that number just
// when capacity is lost. A budget per time interval must be sized for the load; a
// share of the requests follows the load by itself.
//
// Full jitter is used instead of equal jitter, which leaves clients that failed
// together partly synchronized.
package retry
