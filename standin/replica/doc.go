// Package replica is a stand-in of the users' upstreams, model engines and plain
// services alike: it answers with a receipt, by events or at once, and keeps
// count of the runs of each request.
package replica
