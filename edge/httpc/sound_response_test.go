package httpc_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a sound response being failed, or served in part, because few servers
// send one like it (RFC 9112).
var _ = DescribeTable("Client with a server that sends an unusual response",
	func(method, response string, status int, body string) {
		r, failed := callOnce(method, respondAndClose(response))
		Expect(failed).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(status))
		Expect(string(r.body)).To(Equal(body))
		Expect(r.header.Get("Name")).To(Equal("a"))
	},
	Entry("no reason", "GET", "HTTP/1.1 200 \r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a digit as the reason", "GET", "HTTP/1.1 200 2xx\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a reason beyond ASCII", "GET", "HTTP/1.1 200 \xe4\tb\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("an unknown status", "GET", "HTTP/1.1 299 Odd\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 299, "whole"),
	Entry("the largest status", "GET", "HTTP/1.1 599 Odd\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 599, "whole"),
	Entry("a later version", "GET", "HTTP/1.2 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("HTTP/1.0 without a length", "GET", "HTTP/1.0 200 OK\r\nName: a\r\n\r\nwhole", 200, "whole"),
	Entry("neither a length nor chunks", "GET", "HTTP/1.1 200 OK\r\nName: a\r\n\r\nwhole", 200, "whole"),
	Entry("neither a length nor a body", "GET", "HTTP/1.1 200 OK\r\nName: a\r\n\r\n", 200, ""),
	Entry("no white space before values", "GET", "HTTP/1.1 200 OK\r\nName:a\r\nContent-Length:5\r\n\r\nwhole", 200, "whole"),
	Entry("tabs around values", "GET", "HTTP/1.1 200 OK\r\nName:\ta\t\r\nContent-Length:\t5 \t\r\n\r\nwhole", 200, "whole"),
	Entry("names in lower case", "GET", "HTTP/1.1 200 OK\r\nname: a\r\ncontent-length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a name of odd characters", "GET", "HTTP/1.1 200 OK\r\nName: a\r\n!#$%&'*+-.^_`|~1V: x\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("an empty value", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nKind:\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a value beyond ASCII", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nKind: \xe4\xff\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a value with colons and tabs", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nKind: x:\ty: z\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("the same length twice", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("the same length in a list", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5, 5\r\n\r\nwhole", 200, "whole"),
	Entry("a length with zeros", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 005\r\n\r\nwhole", 200, "whole"),
	Entry("a coding in capitals", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole"),
	Entry("a coding between tabs", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding:\tchunked\t\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole"),
	Entry("chunk sizes with zeros and capitals", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n0005\r\nwhole\r\n00A\r\n0123456789\r\n000\r\n\r\n", 200, "whole0123456789"),
	Entry("chunk extensions", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n5;a\r\nwhole\r\n1 ; a = \"b;c\" ;d=e\r\n!\r\n0;last\r\n\r\n", 200, "whole!"),
	Entry("a chunk with line ends", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n", 200, "0\r\n\r\n\r\n"),
	Entry("no chunk but the last", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, ""),
	Entry("a trailer", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nKind: x\r\nSome: y\r\n\r\n", 200, "whole"),
	Entry("an announced trailer", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\nTrailer: Kind, Some\r\n\r\n5\r\nwhole\r\n0\r\nKind: x\r\nSome: y\r\n\r\n", 200, "whole"),
	Entry("an announced trailer that doesn't come", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\nTrailer: Kind\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole"),
	Entry("interim responses", "GET", "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("204", "GET", "HTTP/1.1 204 No Content\r\nName: a\r\n\r\n", 204, ""),
	Entry("204 with a length of zero", "GET", "HTTP/1.1 204 No Content\r\nName: a\r\nContent-Length: 0\r\n\r\n", 204, ""),
	Entry("205", "GET", "HTTP/1.1 205 Reset Content\r\nName: a\r\nContent-Length: 0\r\n\r\n", 205, ""),
	Entry("304 without a length", "GET", "HTTP/1.1 304 Not Modified\r\nName: a\r\n\r\n", 304, ""),
	Entry("304 with the length of what is not sent", "GET", "HTTP/1.1 304 Not Modified\r\nName: a\r\nContent-Length: 5\r\n\r\n", 304, ""),
	Entry("304 with the coding of what is not sent", "GET", "HTTP/1.1 304 Not Modified\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n", 304, ""),
	Entry("the length of what HEAD leaves out", "HEAD", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\n", 200, ""),
	Entry("the coding of what HEAD leaves out", "HEAD", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n", 200, ""),
	Entry("neither for HEAD", "HEAD", "HTTP/1.1 200 OK\r\nName: a\r\n\r\n", 200, ""),
	Entry("a large head", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nKind: "+strings.Repeat("x", 40<<10)+"\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"),
	Entry("a large chunk", "GET", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"+strings.Repeat("x", 0x30000)+"\r\n0\r\n\r\n", 200, strings.Repeat("x", 0x30000)),
)
