package httpc_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// A failing upstream may send bytes that are no response, without end. The client
// must close the connection after a bounded number of bytes, long before the call
// times out, and report that there is no complete response.
var _ = Describe("Client with a server that sends without end", func() {
	const head = "HTTP/1.1 200 OK\r\nName: a\r\n"

	DescribeTable("closes the connection after a bounded number of bytes",
		func(start, repeated string, most int64) {
			ln, err := net.Listen("tcp", "127.0.0.2:0")
			Expect(err).NotTo(HaveOccurred())
			var sent atomic.Int64
			server := &scriptedServer{listener: ln, scripts: []func(*net.TCPConn){func(c *net.TCPConn) {
				_ = c.SetWriteBuffer(16 << 10)
				_, _ = c.Write([]byte(start))
				piece := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
				for {
					n, err := c.Write(piece)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}}}
			client := startClient(ln, server.run)
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {"a"}}, EchoHeader: "Name",
				Timeout: 20 * time.Second, Sink: r,
			})).To(Succeed())
			failed, ok, err := r.ended.TakeUntil(5 * time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeTrue(), "the call has not ended after 5 s and %d bytes", sent.Load())
			Expect(failed).To(BeAssignableToTypeOf(&httpc.IncompleteError{}))
			// What the buffers of both ends hold was sent as well.
			Expect(sent.Load()).To(BeNumerically("<=", most+(8<<20)))
		},
		Entry("no response at all", "", "x", int64(httpc.MaxHeadBytes)),
		Entry("a status line", "HTTP/1.1 200 O", "K", int64(httpc.MaxHeadBytes)),
		Entry("one header field", head+"More: ", "x", int64(httpc.MaxHeadBytes)),
		Entry("header fields", head, "More: x\r\n", int64(httpc.MaxHeadBytes)),
		Entry("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", int64(httpc.MaxHeadBytes)),
		Entry("a chunk size", head+"Transfer-Encoding: chunked\r\n\r\n", "0", int64(httpc.MaxChunkBytes)),
		Entry("a chunk extension", head+"Transfer-Encoding: chunked\r\n\r\n5;a=", "x", int64(httpc.MaxChunkBytes)),
		Entry("trailer fields", head+"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\n", "T: x\r\n", int64(httpc.MaxHeadBytes)),
	)

})
