package httpc_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against an empty or short body that counts as whole: a server stops in the
// middle of the head of its response and closes the connection.
var _ = DescribeTable("Client with a server that ends within the head of its response",
	func(response string) {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server := &scriptedServer{listener: ln}
		for cut := 1; cut < len(response); cut++ {
			server.scripts = append(server.scripts, respondAndClose(response[:cut]))
		}
		client := startClient(ln, server.run)
		for cut := 1; cut < len(response); cut++ {
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {"a"}}, EchoHeader: "Name",
				Timeout: 2 * time.Second, Sink: r,
			})).To(Succeed())
			failed, takeErr := r.ended.Take()
			Expect(takeErr).NotTo(HaveOccurred())
			Expect(failed).To(BeAssignableToTypeOf(&httpc.IncompleteError{}), "cut at %d of %d", cut, len(response))
		}
	},
	Entry("without a length", "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\n\r\n"),
	Entry("with a length", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 2\r\n\r\n"),
	Entry("with a length and a first field later", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nName: a\r\nSeal: s\r\n\r\n"),
	Entry("in chunks", "HTTP/1.1 200 OK\r\nName: a\r\nTransfer-Encoding: chunked\r\n\r\n"),
	Entry("of an empty body", "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 0\r\n\r\n"),
	Entry("after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nName: a\r\n\r\n"),
)
