// Package codec encodes the values of rows: CBOR with integer keys, decoded
// under limits on depth and size.
package codec
