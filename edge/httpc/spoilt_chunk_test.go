package httpc_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against a body that is not the server's, or that ends early and looks whole:
// the chunks are spoilt where they tell their sizes or their end.
var _ = DescribeTable("Client with a server that spoils the chunks of its response",
	func(body string) {
		const head = "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n"
		for _, trailer := range []string{"", "Trailer: Kind\r\n"} {
			r, failed := callOnce(http.MethodGet, respondAndClose(head+trailer+"\r\n"+body))
			Expect(failed).To(BeAssignableToTypeOf(&httpc.IncompleteError{}), "body %q", r.body)
		}
	},
	Entry("a letter after the size", "5x\r\nwhole\r\n0\r\n\r\n"),
	Entry("text after the size", "5 out of memory\r\nwhole\r\n0\r\n\r\n"),
	Entry("a blank after the size", "5 \r\nwhole\r\n0\r\n\r\n"),
	Entry("a blank in the size", "5 0\r\nwhole\r\n0\r\n\r\n"),
	Entry("a blank before the size", " 5\r\nwhole\r\n0\r\n\r\n"),
	Entry("no size", "\r\nwhole\r\n0\r\n\r\n"),
	Entry("an extension alone", ";a=b\r\nwhole\r\n0\r\n\r\n"),
	Entry("a prefix of the size", "0x5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a prefix of the last size", "5\r\nwhole\r\n0x5\r\n\r\n"),
	Entry("text after the last size", "5\r\nwhole\r\n0 bytes\r\n\r\n"),
	Entry("a sign before the size", "+5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a negative size", "-5\r\nwhole\r\n0\r\n\r\n"),
	Entry("an underscore in the size", "0_5\r\nwhole\r\n0\r\n\r\n"),
	Entry("a size beyond all bounds", "fffffffffffffffff\r\nwhole\r\n0\r\n\r\n"),
	Entry("the largest size", "7fffffffffffffff\r\nwhole\r\n0\r\n\r\n"),
	Entry("a null byte after the size", "5\x00\r\nwhole\r\n0\r\n\r\n"),
	Entry("a line feed after the size", "5\nwhole\r\n0\r\n\r\n"),
	Entry("a line feed within an extension", "5;a=b\nwhole\r\nwhole\r\n0\r\n\r\n"),
	Entry("a control byte within an extension", "5;a=\x01\r\nwhole\r\n0\r\n\r\n"),
	Entry("a carriage return after the size", "5\rwhole\r\n0\r\n\r\n"),
	Entry("a size that is too small", "4\r\nwhole\r\n0\r\n\r\n"),
	Entry("a size that is too large", "6\r\nwhole\r\n0\r\n\r\n"),
	Entry("a line feed after a chunk", "5\r\nwhole\n0\r\n\r\n"),
	Entry("nothing after a chunk", "5\r\nwhole0\r\n\r\n"),
	Entry("no last chunk", "5\r\nwhole\r\n"),
	Entry("no end", "5\r\nwhole\r\n0\r\n"),
	Entry("half an end", "5\r\nwhole\r\n0\r\n\r"),
	Entry("a line feed as the end", "5\r\nwhole\r\n0\r\n\n"),
	Entry("text in place of the end", "5\r\nwhole\r\n0\r\nout of memory\r\n\r\n"),
	Entry("another head in place of the end", "5\r\nwhole\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"),
	Entry("a blank in the name of a trailer field", "5\r\nwhole\r\n0\r\nSome Kind: x\r\n\r\n"),
	Entry("a line feed in a trailer field", "5\r\nwhole\r\n0\r\nKind: x\ny\r\n\r\n"),
	Entry("no end after a trailer field", "5\r\nwhole\r\n0\r\nKind: x\r\n"),
)
