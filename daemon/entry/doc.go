// Package entry is the role that serves callers on the users' platform: the
// duties on the path of a request and the rings between them.
//
// A request passes intake (the pollers decode it), dispatch (what happens to
// it, and its answer) and upstream (the connections to upstreams). Beside the
// path, watch follows the configuration and the upstreams, cluster keeps what
// the gateways tell each other and carries the singleton duties, directory
// tells callers which addresses to use, and drain ends the process.
package entry
