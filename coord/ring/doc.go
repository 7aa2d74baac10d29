// Package ring provides bounded queues with one consumer, which join the threads
// of a process.
//
// A producer never blocks: an offer to a full ring fails with a [FullError], and
// the producer decides what to do then. The consumer blocks while the ring is
// empty and uses no processor time meanwhile.
package ring
