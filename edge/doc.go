// Package edge is the root of the packages that encode and decode messages: of
// clients, upstreams, platform services, the cloud, operators, and the links
// between the processes of the system.
//
// These packages make no decisions, so that another front end can use the same
// decision code.
package edge
