// Package objects is a stand-in for the platform's object store. It speaks a
// subset of the S3 REST protocol, with path-style addresses, on one bucket: get,
// head, put with conditions, delete, and list in pages.
package objects
