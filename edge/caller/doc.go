// Package caller is the encoding of the API that callers use: requests as
// JSON, answers as server-sent events or JSON, refusals as problem details
// (RFC 9457).
package caller
