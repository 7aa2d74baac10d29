// Package wire encodes the messages between the system's processes.
//
// A message on a stream is a header of six bytes (the length of the body as 32
// bits and the kind as 16 bits, both big-endian) and a body in CBOR (RFC 8949)
// whose fields are numbered. Sizes and nesting are bounded. A receiver skips
// kinds and fields that it does not know, so that releases can be mixed.
package wire
