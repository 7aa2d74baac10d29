// Package dispatch decides what happens to each request of a gateway from its
// arrival to its end: when it starts and at which upstream, whether it is
// retried, moved or given up, and what its callers are told.
//
// Core is a state machine without I/O, owned by one thread. Its methods report
// what happened, such as an arrival, a failed attempt or a written row, and the
// instant at which it did. The owner then carries out what Core.Actions returns
// and reports the results.
//
// A request waits in the queue until the router finds a replica for it. An
// idempotent request is then sent at once; a non-idempotent one only after its
// claim is written to the table service (see package attempt). With its first
// attempt it is accepted: from then on a failure ends its answer instead of
// refusing the call. While it is open it may be retried, moved to another
// upstream with or without its KV cache, or handed over to another gateway.
//
// # Invariants
//
//   - A non-idempotent request is sent again only if no byte of it was sent, if
//     the upstream says that it did not run it, or if it continues from its own
//     KV cache.
//   - A request ends with the outcome not_run only if no attempt of it can have
//     run.
//   - Callers get each piece of an answer once and in order, although attempts
//     and streams change. What a stream reports after it was replaced is
//     ignored.
package dispatch
