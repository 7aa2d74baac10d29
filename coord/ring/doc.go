// Package ring joins threads by bounded queues with one consumer.
//
// A producer never waits: an offer to a full ring fails with a FullError, and
// the producer decides what that means. The consumer parks while the ring is
// empty and uses no processor time while parked.
package ring
