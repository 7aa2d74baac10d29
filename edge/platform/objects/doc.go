// Package objects is the client of the platform's object store. It uses a subset
// of the S3 REST API with path-style URLs.
package objects
