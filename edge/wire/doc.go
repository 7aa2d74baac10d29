// Package wire encodes and decodes the messages that gateways and controllers
// exchange over their links.
//
// A message is framed by a header of six bytes: the length of the body (32 bits)
// and the kind (16 bits), both big-endian. The body is a CBOR map (RFC 8949) with
// integer keys. Body size, nesting and the number of elements are bounded. A
// receiver skips unknown kinds and fields, so that processes of different
// releases can talk to each other.
package wire
