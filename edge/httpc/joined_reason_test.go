package httpc_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against a request being taken for refused although it ran: the beginning of a
// copy of a refusal, joined to a response whose reason phrase does not start with a
// letter, must not be read as one head.
var _ = DescribeTable("Client with the beginning of a copy of a refusal before a response",
	func(statusLine string) {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		const copied = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"
		server := &scriptedServer{listener: ln, scripts: []func(*net.TCPConn){
			respond("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nName: a\r\nContent-Length: 0\r\n\r\n"),
			respond(copied + statusLine + "\r\nName: b\r\nContent-Length: 3\r\n\r\nown"),
		}}
		client := startClient(ln, server.run)
		ask := func(id string) (*recorder, error) {
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {id}}, EchoHeader: "Name",
				Timeout: 2 * time.Second, Sink: r,
			})).To(Succeed())
			failed, takeErr := r.ended.Take()
			Expect(takeErr).NotTo(HaveOccurred())
			return r, failed
		}
		_, failed := ask("a")
		Expect(failed).NotTo(HaveOccurred())
		r, failed := ask("b")
		Expect(failed).To(HaveOccurred(), "status %d, Not-Executed %q", r.status, r.header.Get("Not-Executed"))
	},
	Entry("with a phrase", "HTTP/1.1 200 OK"),
	Entry("without a phrase", "HTTP/1.1 200 "),
	Entry("without a phrase and its space", "HTTP/1.1 200"),
	Entry("with a digit first", "HTTP/1.1 200 2xx"),
)
