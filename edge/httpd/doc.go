// Package httpd is an HTTP/1.1 server that serves many concurrent requests with
// a fixed number of threads.
//
// The pollers of nbhttp read the bytes of connections, of which package http1 makes
// requests. Each complete request becomes an Exchange, which a Handler passes on, usually through a ring, to the thread that
// replies later. Writing never blocks: what the client does not take is buffered
// up to a limit, beyond which the connection is closed.
//
// Each connection serves one exchange at a time. One further request may be
// pipelined; the connection of a client that sends more is closed. Bytes that are no valid
// request get one response, behind those to the requests before them, and end the
// connection: nothing that follows them is read as a request.
package httpd
