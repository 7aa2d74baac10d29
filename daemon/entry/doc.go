// Package entry is the entry gateway, the role that serves callers on the users'
// platform. It proxies their requests to upstreams.
//
// A request passes three threads. The pollers of the HTTP server decode it
// (intake), the dispatch duty decides which upstream gets it and writes its
// response, and the upstream duty owns the connections to the upstreams.
//
// The other duties carry no requests:
//
//   - watch follows the configuration and the list of upstreams in the store.
//   - cluster publishes this gateway's record in the store and reads those of the
//     other gateways. While it holds the lease, it also reports usage and orders
//     upstreams.
//   - directory tells callers which gateways to use, and the platform whether
//     this one is ready.
//   - drain stops the process gracefully.
//   - reload rereads the settings file.
//   - platform owns the connections to the store and the cloud API.
//   - report serves the metrics and state dumps.
//
// # Invariants
//
//   - Each duty runs on a thread of its own, which alone uses the duty's state.
//     Duties exchange messages through bounded rings only.
//   - A call to the store, the cloud API or an upstream does not block the duty
//     that makes it. The duty first reserves a slot in its ring, so that there is
//     always room for the result.
//   - Decisions are made by packages without I/O, such as relay, cluster and
//     scale. The duties feed them events and carry out the result.
package entry
