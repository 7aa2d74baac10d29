// Package route chooses an upstream for each request. A Router is told what
// the instance list, the upstreams and the requests of its own gateway report;
// it holds an approximate view of what other gateways do.
package route
