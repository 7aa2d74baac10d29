// Package request defines the types that describe a caller's request, the
// pieces of its answer and how it ended.
//
// A request is identified by its customer and its idempotency key, and ends
// with exactly one Outcome. The types with cbor tags travel between gateways
// when a request is handed over, and ServiceReply is also stored in the records
// of completed requests: their field numbers and the values of Outcome and
// Reason must not change.
package request
