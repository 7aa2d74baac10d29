// Package objects is a stand-in of the platform's object store. It speaks a
// subset of the S3 REST protocol, with path-style addresses, on one bucket.
package objects
