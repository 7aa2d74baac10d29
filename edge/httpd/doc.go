// Package httpd serves HTTP/1.1 without a thread for each request. The pollers
// of nbhttp decode a request and hand an Exchange to a Handler, which offers
// it to a ring; some duty answers later through the Exchange. Writes never
// block.
package httpd
