// Package codec encodes the values of rows in the table service as deterministic
// CBOR. Decoding limits the nesting depth and the number of elements and rejects
// tags. Types to be encoded use integer keys (the keyasint option).
package codec
