package httpc_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
)

// Guards against a body that is not the server's: the head is spoilt where it tells how
// long the body is, so that it could end anywhere.
var _ = DescribeTable("Client with a server that spoils the length of its response",
	func(lines, body string) {
		r, failed := callOnce(http.MethodGet, respondAndClose("HTTP/1.1 200 OK\r\nName: a\r\n"+lines+"\r\n"+body))
		expectNoResponse(r, failed)
	},
	Entry("two lengths", "Content-Length: 2\r\nContent-Length: 5\r\n", "whole"),
	Entry("two lengths, the longer one first", "Content-Length: 5\r\nContent-Length: 2\r\n", "whole"),
	Entry("a list of lengths", "Content-Length: 2, 5\r\n", "whole"),
	Entry("a list with a gap", "Content-Length: 5,\r\n", "whole"),
	Entry("an empty length", "Content-Length:\r\n", "whole"),
	Entry("an empty length beside another", "Content-Length:\r\nContent-Length: 2\r\n", "whole"),
	Entry("a length of blanks", "Content-Length:   \r\n", "whole"),
	Entry("a length with a plus sign", "Content-Length: +5\r\n", "whole"),
	Entry("a negative length", "Content-Length: -5\r\n", "whole"),
	Entry("a negative zero", "Content-Length: -0\r\n", "whole"),
	Entry("a hexadecimal length", "Content-Length: 0x5\r\n", "whole"),
	Entry("a length with a fraction", "Content-Length: 5.0\r\n", "whole"),
	Entry("a length with a letter", "Content-Length: 5x\r\n", "whole"),
	Entry("a length with a gap", "Content-Length: 1 5\r\n", "whole"),
	Entry("a length with an underscore", "Content-Length: 1_5\r\n", "whole"),
	Entry("a length beyond all bounds", "Content-Length: 99999999999999999999\r\n", "whole"),
	Entry("a length with a line feed", "Content-Length: 5\n1\r\n", "whole"),
	Entry("a blank before the colon of the length", "Content-Length : 5\r\n", "whole"),
	Entry("a length without a colon", "Content-Length 5\r\n", "whole"),
	Entry("a length in the line before", "Kind: x\nContent-Length: 2\r\n", "whole"),
	Entry("chunks and a length", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("chunks and a length that is no number", "Transfer-Encoding: chunked\r\nContent-Length: x\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("no transfer coding", "Transfer-Encoding:\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("an unknown transfer coding", "Transfer-Encoding: chunke\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("another transfer coding", "Transfer-Encoding: gzip\r\n", "whole"),
	Entry("the identity coding", "Transfer-Encoding: identity\r\n", "whole"),
	Entry("two transfer codings", "Transfer-Encoding: gzip, chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("chunks in chunks", "Transfer-Encoding: chunked, chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("chunks twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("chunks with a parameter", "Transfer-Encoding: chunked;a=b\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("chunks behind a control byte", "Transfer-Encoding: \x0bchunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a blank before the colon of the coding", "Transfer-Encoding : chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a blank in the name of the coding", "Transfer Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
)

// Guards against a coding that HTTP/1.0 doesn't have.
var _ = It("Client with a server of HTTP/1.0 that sends chunks fails the call", func() {
	r, failed := callOnce(http.MethodGet, respondAndClose("HTTP/1.0 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
	expectNoResponse(r, failed)
})

// Guards against a body that belongs to no response: these statuses have none.
var _ = DescribeTable("Client with a server that gives a body to a status without one",
	func(response string) {
		r, failed := callOnce(http.MethodGet, respondAndClose(response))
		expectNoResponse(r, failed)
	},
	Entry("204 with a length", "HTTP/1.1 204 No Content\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole"),
	Entry("204 with chunks", "HTTP/1.1 204 No Content\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
	Entry("204 with two lengths", "HTTP/1.1 204 No Content\r\nName: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n"),
	Entry("304 with a length that is no number", "HTTP/1.1 304 Not Modified\r\nName: a\r\nContent-Length: 5x\r\n\r\n"),
	Entry("an interim response with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 2\r\n\r\nok"),
	Entry("an interim response with chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 2\r\n\r\nok"),
)
