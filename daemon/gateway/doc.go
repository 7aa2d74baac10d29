// Package gateway implements the gateway role, which accepts requests from
// callers, runs them at upstreams and streams the answers back.
//
// A request passes through these parts, which are joined by bounded rings:
//
//   - intake decodes it on the threads of the HTTP server
//   - admission authenticates the caller and reserves room for the answer
//   - dispatch decides where and when the request runs
//   - delivery writes the answer to its callers
//
// The duty "upstream" owns the connections to upstreams, "record" those to the
// table service, in which attempts are recorded. Beside the path of a request,
// probe asks upstreams for their load, follow receives the cluster state from
// other processes, and drain shuts the gateway down. Each duty runs on its own
// thread.
//
// Messages that must not be lost use slots that were reserved beforehand in the
// ring of the receiver. All others may be dropped when a ring is full.
package gateway
