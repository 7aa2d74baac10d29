// Package operator writes what the operators of the users' platform, and the
// upstreams on it, write to its store.
package operator
