// Package lease elects one of several processes to act, by leases in rows of the
// table service, with fencing numbers.
//
// A [Lease] is the state machine of one lease at one candidate. Its owner calls
// Next, carries out the returned [Step] and hands in the result. It calls
// [Lease.Fence] right before each operation that the lease protects.
//
// # Invariants
//
//   - A holder's lease ends at a deadline on its own monotonic clock. The deadline
//     counts from before the write was requested, and is shortened by a margin for
//     the different rates of two clocks. A holder that was paused finds its lease
//     expired.
//   - A candidate takes the lease over only after it has seen the same version of
//     the row for a whole TTL on its own monotonic clock, by a write that is
//     conditional on that version. Neither wall clocks nor the clocks of two
//     processes are compared.
//   - So at most one process at a time is told that it holds the lease.
//   - The fencing number grows with each new holder, across releases, for the whole
//     life of the row, which is never deleted.
//   - It grows as well if the table service is restored from an older copy, as far as the
//     service numbers its timelines: a number begins with the timeline in which it is
//     given out. In a new timeline no record, release or unknown write of a former one
//     counts. The holder of that moment may take the lease over at once, and all other
//     candidates watch the row for a whole TTL first, whatever it says.
//   - A takeover counts only once it has been read back.
//   - A holder whose number is refused takes a higher one, or finds another holder.
//   - After a write of unknown outcome the row is read back. The deadline then
//     counts from the oldest write that can have produced the row.
//
// A process that is stopped between the call of Fence and the operation that
// follows performs it late. Receivers that check the fencing number reject it. For
// receivers that don't, orders name the wanted state, and a new holder lets a
// [TakeoverDelay] pass before its first order and then reads the state back.
//
// After a failure of the holder, or a restore, there is no holder for at most the
// TTL, one watch interval, one write and one read. A planned stop releases the lease,
// and the gap is one watch interval.
//
// # Alternatives
//
// A wall-clock expiry time in the row is cheaper to check, but wrong by the
// difference of the clocks. A version check on each operation needs no time at
// all, but a read of the table service before each order, and fails with it. A
// new fencing number on each renewal would reject orders of the holder itself
// that overtake one another.
package lease
