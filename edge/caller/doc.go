// Package caller encodes and decodes the HTTP API that callers use: submitting,
// resuming and canceling requests to a model, calling plain services, and
// listing the addresses of the gateways.
//
// Requests are JSON, answers are server-sent events or one JSON document, and
// refusals are problem details (RFC 9457).
package caller
