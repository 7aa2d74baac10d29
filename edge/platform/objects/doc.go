// Package objects is the client of the platform's object store. It speaks a
// subset of the S3 REST protocol, with path-style addresses.
package objects
