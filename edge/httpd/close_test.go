package httpd_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// Guards against a server that closes a connection by a state which another thread may not have
// written to its end. The race detector tells.
var _ = Describe("Server that is closed while heads have not ended", func() {
	const servers, connections = 20, 16

	It("reads what the pollers have written of their connections", func() {
		for range servers {
			server := httpd.New(httpd.Config{Address: "127.0.0.1:0"}, &echo{})
			Expect(server.Open()).To(Succeed())
			for range connections {
				conn, err := net.Dial("tcp", server.Address())
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost"))
				Expect(err).NotTo(HaveOccurred())
			}
			time.Sleep(10 * time.Millisecond)
			server.Close()
		}
	})
})
