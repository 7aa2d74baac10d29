package link

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// Handler is told of links and messages. Its methods are called on the threads of
// this package and must not block: they should only offer to a ring.
type Handler interface {
	// Up reports a new link to a peer. It is called before the first Receive of
	// the link.
	Up(peer wire.Hello)
	// Receive delivers a message from a peer.
	Receive(from wire.Hello, m wire.Message)
	// Down reports the end of a link. A *ReleasedError (one side no longer wanted
	// the link) or a *ReplacedError says nothing against the peer; after any other
	// error it may have failed.
	Down(peer wire.Hello, err error)
}
