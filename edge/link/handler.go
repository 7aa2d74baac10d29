package link

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// Handler learns of links and messages. Its methods run on the threads of this
// package: they only offer to a ring and return.
type Handler interface {
	// Up says that there is a link to a peer. It comes before the first Receive
	// of the link.
	Up(peer wire.Hello)
	// Receive gives a message from a peer.
	Receive(from wire.Hello, m wire.Message)
	// Down says that a link has ended. After a *ReleasedError (one side no longer
	// wanted it) or a *ReplacedError the peer is well; after any other error it
	// may have failed.
	Down(peer wire.Hello, err error)
}
