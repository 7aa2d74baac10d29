// Package link joins the system's processes by QUIC with mutual TLS 1.3.
//
// There is one connection between two processes, with one bidirectional
// stream. The links duty owns the table of links. A link has a reader duty and
// a writer duty; the number of links is bounded, and their duties are started
// once and wait for a link. Dial and accept duties wait for the network on
// behalf of the links duty.
//
// The outbound ring of a link refuses a message when it is full: the sender
// gets a ring.FullError. A peer that takes no bytes for the write timeout is
// disconnected.
package link
