package httpc_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against the copy of the first response to an ID being taken for the second one
// after so many other IDs that a connection no longer keeps the first.
var _ = Describe("Client with a call that repeats the ID of one long before", func() {
	DescribeTable("sends it over another connection", func(others int) {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server := &refusingServer{listener: ln}
		client := startClient(ln, server.run)
		call := func(id string) string {
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {id}}, EchoHeader: "Name",
				Timeout: 5 * time.Second, Sink: r,
			})).To(Succeed())
			failed, err := r.ended.Take()
			Expect(err).NotTo(HaveOccurred())
			Expect(failed).NotTo(HaveOccurred())
			return string(r.body)
		}
		carriers := map[string]bool{call("first"): true}
		for i := range others {
			call(fmt.Sprint(i))
		}
		Expect(carriers).NotTo(HaveKey(call("first")))
	},
		Entry("after half as many as are kept", 512),
		Entry("after one less than are kept", 1023),
		Entry("after as many as are kept", 1024),
		Entry("after more than are kept", 1600),
		Entry("after twice as many as are kept", 2048),
	)
})
