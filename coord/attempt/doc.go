// Package attempt ensures that a non-idempotent request runs at most once, even
// if processes pause or crash or responses of the table service are lost.
//
// Each request has one row in the table service, named by customer and key. The
// row records the holder: the only process that may send the request. A [Claim]
// is the state machine by which one holder claims one request. It does no I/O:
// the caller carries out each [Step] and passes the result back, until the step
// is [Send], [Attach], [Duplicate], [Refuse], [HandoffFailed] or [Done].
//
// # Invariants
//
//   - Only the claim whose holder and nonce are in the row may send, and it
//     sends once. A holder never uses a nonce twice in one incarnation.
//   - The right to send expires at a deadline on the monotonic clock of the
//     holder. The deadline is computed before the write of the claim is issued.
//     [Claim.MaySend] must be called immediately before the first byte is sent.
//   - A claim that was refused, or released for a handoff, never sends, even if
//     a write of unknown outcome takes effect later. The caller can therefore be
//     told at once that the request was not run, without another read.
//   - A row in the state [Claimed] is never taken over from its holder, not even
//     from a dead one, because nobody else knows whether the holder sent. After
//     the window a [Resolver] changes it to [Unknown]; no run starts after that.
//   - A row in the state [NotRun] was written by its holder, which either never
//     sent or was refused by the upstream. The next claim replaces it with a
//     higher attempt number.
//
// The monotonic clock must advance while the process is stopped. A pause between
// MaySend and the send itself can't be detected here; only an upstream that
// checks a deadline or a fencing number closes that gap.
//
// # Alternatives
//
// A second write at the start of the send would distinguish "claimed" from
// "sent" after a crash. It doubles the writes and only narrows the gap, since
// the holder may die between that write and the send.
//
// A lease on the key, which another holder can take after it expires, would
// raise availability, but runs a request twice if the first holder sent it
// before it died.
//
// Deleting the row on refusal frees the key, but a delayed insert of an older
// claim or of a racing holder then goes unnoticed. A row in the state NotRun has
// a version, which orders these writes.
//
// In a handoff the new holder writes the row, so that its deadline starts before
// the row changes. If the old holder wrote it, other processes could not observe
// a bound on the window of the new one.
package attempt
