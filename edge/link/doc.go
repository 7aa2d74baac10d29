// Package link connects the processes of the system by QUIC with mutual TLS 1.3
// and carries messages between them.
//
// A link is one connection between two processes with one bidirectional stream,
// after both sides have exchanged and checked a Hello. If both sides dial, one of
// the two connections is kept.
//
// The links thread owns the set of links and decides which to dial, keep and
// close. The accept thread and the dial threads wait for the network on its
// behalf. The number of links is bounded: each slot has a reader thread and a
// writer thread, which are started once and serve one link after another.
//
// A message to a peer whose outbound ring is full is refused with a
// *ring.FullError. A peer that does not take a message within the write timeout is
// disconnected.
package link
