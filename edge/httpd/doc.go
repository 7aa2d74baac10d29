// Package httpd is an HTTP/1.1 server that serves many concurrent requests with
// a fixed number of threads.
//
// The pollers of nbhttp read and parse requests. Each complete request becomes an
// Exchange, which a Handler passes on, usually through a ring, to the thread that
// replies later. Writing never blocks: what the client does not take is buffered
// up to a limit, beyond which the connection is closed.
//
// Each connection serves one exchange at a time. One further request may be
// pipelined; the connection of a client that sends more is closed.
package httpd
