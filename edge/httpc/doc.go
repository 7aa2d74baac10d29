// Package httpc is an HTTP/1.1 client that serves many concurrent calls with a
// fixed number of threads.
//
// The thread that runs Client.Run owns the pool of idle connections and writes
// the requests. Dialer threads establish new connections. The pollers of nbhttp
// parse the responses and pass each part to the Sink of its call as it arrives.
//
// A call that fails says whether the request can have reached the server: with
// a NotSentError it cannot, with an IncompleteError it can. The package never
// retries a request of which a byte may have left the process.
package httpc
