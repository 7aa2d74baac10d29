// Package httpc calls HTTP/1.1 servers without a thread for each call. One
// duty owns the connections; the pollers of nbhttp decode the answers and hand
// each piece to the Sink of its call as it arrives.
package httpc
