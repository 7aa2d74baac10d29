// Package attempt decides whether a non-idempotent request may be sent, so
// that it runs at most once although its holders pause, crash and lose
// answers of the table service.
//
// One row for each request, named by customer and key, records who may send
// it. A [Claim] is the state machine of one request at one holder. It does no
// I/O: it returns a [Step], the caller carries the step out and hands the
// result back, until the step is [Send], [Attach], [Duplicate], [Refuse],
// [Lost] or [Done].
//
// # Invariants
//
//   - Only the claim whose holder and nonce stand in the row may send, and it
//     sends once. A nonce is never used twice by one incarnation.
//   - The right to send lapses at a deadline on the monotonic clock of the
//     holder that starts before the write is asked for. [Claim.MaySend] is to
//     be called right before the first byte leaves the process.
//   - A claim that has refused, or that was released for a hand-over, never
//     sends, whatever the table service does later with a write of unknown
//     outcome. So "not run" is true at once, without asking the service again.
//   - A row in the state [Claimed] is never taken over from its holder, not
//     even from a dead one: whether the holder sent can't be known. After the
//     window it becomes [Unknown] through a [Settler]; no run starts after
//     that.
//   - A row in the state [NotRun] was put there by its holder, which never
//     sent or has the refusal of the upstream. The next claim replaces it under
//     a higher attempt number.
//
// The monotonic clock must advance while the process is stopped. A pause
// between MaySend and the send call itself can't be seen by any code; only an
// upstream that checks a deadline or a fencing number closes that gap.
//
// # Alternatives
//
// A second write that marks the start of the send would tell "claimed" from
// "sent" after a crash. It doubles the writes and only narrows the gap, since
// the holder may die between that write and the send. A lease on the key that
// another holder can take after expiry would raise availability, and run a
// request twice when the first holder had sent before it died. Deleting the row
// on refusal frees the key, but lets a delayed insert of an older claim or a
// racing holder in unseen; a row in the state NotRun with a version keeps the
// order. In a hand-over the new holder does the write, so that its deadline
// starts before the row changes; a write by the old holder would leave the
// window of the new one without a bound that others can observe.
package attempt
