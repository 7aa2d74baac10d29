// Package lease lets one of several processes act, by leases in rows of the
// table service, with fencing numbers.
//
// A [Lease] is the state machine of one lease at one candidate. Its owner calls
// Next, carries out the [Step] and hands the result back, and asks
// [Lease.Fence] right before each act.
//
// # Invariants
//
//   - The lease of a holder ends on its own monotonic clock at a deadline that
//     starts before the write is asked for, less a margin for the difference of
//     the rates of two clocks. A holder that was paused finds itself expired.
//   - A candidate takes the lease over only after it has seen the same version
//     of the row for a whole TTL on its own monotonic clock, by a write that is
//     conditional on that version. No wall clocks and no clocks of two processes
//     are compared.
//   - So at every moment at most one process is told that it holds the lease.
//   - The fencing number grows with each new holder, over releases and over the
//     whole life of the row, which is never deleted.
//   - After a write of unknown outcome the row is read back. The deadline then
//     counts from the oldest write that can have made the row as it is.
//
// A process that is stopped between the call of Fence and the act that follows
// acts late. Receivers that check the fencing number refuse that act. For those
// that don't, orders name the wanted state, and a new holder lets a [WaitOut]
// pass before its first order and then reads the state back.
//
// Under failover the duty is without a holder for at most the TTL, one watch
// interval and one write. A planned stop releases the lease, and the gap is one
// watch interval.
//
// # Alternatives
//
// An expiry as a wall-clock time in the row is cheaper to judge, but wrong by
// the difference of the clocks. A version check on each act needs no time at
// all, but a read of the table service before each order, and fails with it. A
// new fencing number on each renewal would refuse orders of the holder itself
// that overtake one another.
package lease
