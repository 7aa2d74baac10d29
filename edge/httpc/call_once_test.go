package httpc_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// callOnce calls a server that runs a script for the request, and returns the response
// and how the call failed, nil if it did not. The response must repeat the field Name: a.
func callOnce(method string, script func(*net.TCPConn)) (*recorder, error) {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	server := &scriptedServer{listener: ln, scripts: []func(*net.TCPConn){script}}
	client := startClient(ln, server.run)
	r := newRecorder()
	Expect(client.Start(&httpc.Call{
		Address: ln.Addr().String(), Method: method, Path: "/", Header: http.Header{"Name": {"a"}}, EchoHeader: "Name",
		Timeout: 2 * time.Second, Sink: r,
	})).To(Succeed())
	failed, takeErr := r.ended.Take()
	Expect(takeErr).NotTo(HaveOccurred())
	return r, failed
}

// expectNoResponse checks that a call has failed as one that may have run, and that
// nothing of the response was passed on.
func expectNoResponse(r *recorder, failed error) {
	GinkgoHelper()
	Expect(failed).To(BeAssignableToTypeOf(&httpc.IncompleteError{}), "status %d, header %q, body %q", r.status, r.header, r.body)
	Expect(r.status).To(BeZero())
	Expect(r.body).To(BeEmpty())
}
