// Package http1 reads HTTP/1.1 messages, requests and responses, as RFC 9112 and RFC 9110
// say. It decides where a message ends and what its head says; it does no I/O. The package
// is strict: of a message that two readers could understand in two ways, it accepts none.
//
// Rules for requests, with the sections of RFC 9112 unless another RFC is named, and the
// status of the response to a breach:
//
//	line ends        CR and LF; a bare LF or CR is none (2.2)                       400
//	request line     method, target and version with one space between (3)          400, 414
//	empty lines      a few are skipped before a request line (2.2)                  400
//	method           a token (9110, 9.1), passed on as it is; no CONNECT            400, 501
//	target           path and query, a URL of http or https, or * (3.2)             400
//	version          HTTP/1.x (2.3; 9110, 6.2)                                      400, 505
//	Host             one, except in HTTP/1.0; a host, a port, nothing else (3.2)    400
//	fields           a token, a colon, a value without control bytes (5.1)          400, 431
//	continued fields none (5.2)                                                     400
//	Content-Length   digits; the same again, no other; not beside a coding (6.3)    400, 413
//	Transfer-Encoding chunked, once, not in HTTP/1.0 (6.1)                          400, 501
//	chunks           hexadecimal sizes, well-formed extensions, line ends (7.1)     400, 413
//	trailer          fields as in the head; they are dropped (7.1.2)                400, 431
//
// Responses are read by the same functions; see ParseResponseHead.
package http1
