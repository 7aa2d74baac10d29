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

// A failing upstream may send a second copy of a response, late, when the connection
// is in use again. The next caller must get its own response or a failure, never
// the copy.
var _ = Describe("Client with a server that repeats responses", func() {
	whole := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nName: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	chunked := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nName: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(id), id)
	}
	// write sends texts with a pause before each but the first.
	write := func(pause time.Duration, texts ...string) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			for i, text := range texts {
				if i > 0 {
					time.Sleep(pause)
				}
				_, _ = c.Write([]byte(text))
			}
		}
	}

	DescribeTable("gives each caller its own response or a failure",
		func(encode func(string) string, pause time.Duration, cutAt int) {
			ln, err := net.Listen("tcp", "127.0.0.2:0")
			Expect(err).NotTo(HaveOccurred())
			const calls = 12
			server := &scriptedServer{listener: ln}
			for i := range calls {
				id := fmt.Sprintf("response-%d", i)
				copied := encode(id)
				server.scripts = append(server.scripts, write(pause, encode(id), copied[:min(cutAt, len(copied))]))
			}
			client := startClient(ln, server.run)
			own := 0
			for i := range calls {
				id := fmt.Sprintf("response-%d", i)
				r := newRecorder()
				Expect(client.Start(&httpc.Call{
					Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {id}}, EchoHeader: "Name",
					Timeout: 300 * time.Millisecond, Sink: r,
				})).To(Succeed())
				failed, takeErr := r.ended.Take()
				Expect(takeErr).NotTo(HaveOccurred())
				if failed == nil {
					own++
					Expect(string(r.body)).To(Equal(id))
				}
			}
			Expect(own).To(BeNumerically(">", 0))
		},
		Entry("a copy together with the response", whole, 0*time.Millisecond, 1<<10),
		Entry("a copy while the next request is sent", whole, 300*time.Microsecond, 1<<10),
		Entry("a copy while the next request waits", whole, 5*time.Millisecond, 1<<10),
		Entry("a copy of a chunked response", chunked, 300*time.Microsecond, 1<<10),
		Entry("the beginning of a copy, together with the response", whole, 0*time.Millisecond, 20),
		Entry("the beginning of a copy, later", whole, 5*time.Millisecond, 30),
	)
})
