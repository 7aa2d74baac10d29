// Package spread decides how the system's processes pass on what all of them
// must know: the newest confirmed configuration, the fleet, which processes
// there are, and which of them have which configuration.
//
// A Node is the state of one process. It takes events with the present instant
// and returns actions; it knows no sockets and no encoding. Changes are pushed
// along a bounded number of links; heartbeats carry a summary of what their
// sender holds, and a process that is behind asks for the rest. So any message
// may be lost, repeated or reordered.
package spread
