// Package gateway is the gateway role: the duties on the path of a request and
// the rings between them.
//
// A request passes intake (the pollers decode it), admission (who asks),
// dispatch (what happens to it) and delivery (what its callers are told).
// Upstreams and the table service are called by the duties upstream and record,
// which own the connections to them.
package gateway
