package httpc_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
)

// Guards against a status that no response has: it is no answer, however well the rest
// of the head is formed.
var _ = DescribeTable("Client with a server that sends a status that no response has",
	func(status string) {
		for _, rest := range []string{
			"Name: a\r\nContent-Length: 5\r\n\r\nwhole",
			"Name: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"Name: a\r\n\r\nwhole",
			"Name: a\r\nContent-Length: 0\r\n\r\n",
			"\r\nHTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole",
		} {
			r, failed := callOnce(http.MethodGet, respondAndClose(fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s", status, rest)))
			expectNoResponse(r, failed)
		}
	},
	Entry("000", "000"),
	Entry("001", "001"),
	Entry("099", "099"),
	Entry("600", "600"),
	Entry("999", "999"),
	Entry("two digits", "20"),
	Entry("four digits", "2000"),
	Entry("four digits with a zero", "0200"),
	Entry("a sign", "+20"),
	Entry("a letter", "2OO"),
	Entry("none", ""),
)

// Guards against a connection that is taken for one of another protocol: no request asks
// for one, so that status is no interim response.
var _ = It("Client with a server that switches protocols fails the call", func() {
	const switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	r, failed := callOnce(http.MethodGet, respondAndClose(switching+"HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 5\r\n\r\nwhole"))
	expectNoResponse(r, failed)
})
