package httpc_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
)

// Guards against a line that is no field being passed on or dropped, with a body that is
// not the server's: it may hide another field, as that of the length.
var _ = DescribeTable("Client with a server whose head holds a line that is no field",
	func(line string) {
		const before, after = "HTTP/1.1 200 OK\r\nName: a\r\n", "Content-Length: 5\r\n\r\nwhole"
		r, failed := callOnce(http.MethodGet, respondAndClose(before+line+after))
		expectNoResponse(r, failed)
		r, failed = callOnce(http.MethodGet, respondAndClose(strings.Replace(before, "Name", line+"Name", 1)+after))
		expectNoResponse(r, failed)
	},
	Entry("text", "out of memory\r\n"),
	Entry("one word", "failed\r\n"),
	Entry("text with a colon", "out of memory: 5\r\n"),
	Entry("no name", ": 5\r\n"),
	Entry("a blank in the name", "Some Kind: x\r\n"),
	Entry("a blank before the name", " Kind: x\r\n"),
	Entry("a blank after the name", "Kind : x\r\n"),
	Entry("a tab before the name", "\tKind: x\r\n"),
	Entry("a tab in the name", "Some\tKind: x\r\n"),
	Entry("a tab after the name", "Kind\t: x\r\n"),
	Entry("a null byte in the name", "Ki\x00nd: x\r\n"),
	Entry("a null byte before the name", "\x00Kind: x\r\n"),
	Entry("a control byte in the name", "Ki\x01nd: x\r\n"),
	Entry("an escape in the name", "Ki\x1bnd: x\r\n"),
	Entry("a delete in the name", "Ki\x7fnd: x\r\n"),
	Entry("a byte beyond ASCII in the name", "Ki\xe4nd: x\r\n"),
	Entry("a quote in the name", "\"Kind\": x\r\n"),
	Entry("a bracket in the name", "{Kind: x\r\n"),
	Entry("a line feed after the name", "Kind\n: x\r\n"),
	Entry("a line feed in the value", "Kind: x\ny\r\n"),
	Entry("a line feed before the value", "Kind: \nx\r\n"),
	Entry("a line feed at the end", "Kind: x\n"),
	Entry("a field behind a line feed", "Kind: x\nSome: y\r\n"),
	Entry("a carriage return in the value", "Kind: x\ry\r\n"),
	Entry("a carriage return at the end", "Kind: x\r"),
	Entry("two carriage returns at the end", "Kind: x\r\r\n"),
	Entry("a null byte in the value", "Kind: x\x00y\r\n"),
	Entry("a control byte in the value", "Kind: x\x01y\r\n"),
	Entry("a control byte before the value", "Kind:\x0bx\r\n"),
	Entry("a delete in the value", "Kind: x\x7fy\r\n"),
	Entry("a continued value", "Kind: x\r\n y\r\n"),
	Entry("an empty continued value", "Kind: x\r\n \r\n"),
)

// Guards against what a status line hides: a field behind a line feed in it, or a status
// that is another than the server's.
var _ = DescribeTable("Client with a server that spoils its status line",
	func(statusLine string) {
		r, failed := callOnce(http.MethodGet, respondAndClose(statusLine+"Name: a\r\nContent-Length: 5\r\n\r\nwhole"))
		expectNoResponse(r, failed)
	},
	Entry("a line feed at the end", "HTTP/1.1 200 OK\n"),
	Entry("a field behind a line feed", "HTTP/1.1 200 OK\nKind: x\r\n"),
	Entry("a carriage return in the reason", "HTTP/1.1 200 O\rK\r\n"),
	Entry("a null byte in the reason", "HTTP/1.1 200 O\x00K\r\n"),
	Entry("a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n"),
	Entry("a delete in the reason", "HTTP/1.1 200 OK\x7f\r\n"),
	Entry("a control byte before the reason", "HTTP/1.1 200 \x01OK\r\n"),
	Entry("a tab before the status", "HTTP/1.1\t200 OK\r\n"),
	Entry("two blanks before the status", "HTTP/1.1  200 OK\r\n"),
	Entry("no blank after the status", "HTTP/1.1 200\r\n"),
	Entry("another version", "HTTP/2.0 200 OK\r\n"),
	Entry("no version", "HTTP/1 200 OK\r\n"),
	Entry("a longer version", "HTTP/1.10 200 OK\r\n"),
	Entry("a version in lower case", "http/1.1 200 OK\r\n"),
	Entry("another protocol", "ICY 200 OK\r\n"),
	Entry("a blank line before", "\r\nHTTP/1.1 200 OK\r\n"),
)

// Guards against an interim response that hides what is wrong with the final one.
var _ = DescribeTable("Client with a server that spoils an interim response",
	func(interim string) {
		r, failed := callOnce(http.MethodGet, respondAndClose(interim+"HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole"))
		expectNoResponse(r, failed)
	},
	Entry("text", "HTTP/1.1 100 Continue\r\nout of memory\r\n\r\n"),
	Entry("a blank in a name", "HTTP/1.1 103 Early Hints\r\nSome Kind: x\r\n\r\n"),
	Entry("a line feed in the reason", "HTTP/1.1 100 Con\ntinue\r\n\r\n"),
	Entry("a line feed in a value", "HTTP/1.1 103 Early Hints\r\nKind: x\ny\r\n\r\n"),
)

// Guards against the response to another request: the head names two requests.
var _ = DescribeTable("Client with a server whose head names two requests",
	func(lines string) {
		r, failed := callOnce(http.MethodGet, respondAndClose("HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 5\r\n\r\nwhole"))
		expectNoResponse(r, failed)
	},
	Entry("the other one last", "Name: a\r\nName: b\r\n"),
	Entry("the other one first", "Name: b\r\nName: a\r\n"),
	Entry("in one field", "Name: a, b\r\n"),
	Entry("an empty name beside it", "Name: a\r\nName:\r\n"),
)
