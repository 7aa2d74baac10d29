// Package requester is the client side of callers on the users' platform: it
// resolves a host name at the directory service, sets the header fields of a
// request and reads those of the response.
package requester
