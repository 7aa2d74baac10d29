package httpd_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpd")
}

// echo replies to each request with its body, on a thread of its own.
type echo struct {
	inbox *ring.Ring[*httpd.Exchange]
}

func (e *echo) Serve(x *httpd.Exchange)      { _ = e.inbox.Offer(x) }
func (e *echo) Disconnected(*httpd.Exchange) {}

func (e *echo) run() error {
	for {
		x, err := e.inbox.Take()
		if err != nil {
			return nil
		}
		_ = x.Reply(http.StatusOK, nil, x.Body)
	}
}

var _ = Describe("Server", func() {
	var (
		server    *httpd.Server
		malformed *ring.Ring[*httpd.MalformedError]
	)

	BeforeEach(func() {
		handler := &echo{inbox: ring.New[*httpd.Exchange]("echo", 256)}
		malformed = ring.New[*httpd.MalformedError]("malformed", 16)
		server = httpd.New(httpd.Config{
			Address:     "127.0.0.1:0",
			OnMalformed: func(e *httpd.MalformedError) { _ = malformed.Offer(e) },
		}, handler)
		Expect(server.Open()).To(Succeed())
		t := thread.Start("echo", handler.run)
		DeferCleanup(func() {
			handler.inbox.Close()
			Expect(t.Join()).To(Succeed())
			server.Close()
		})
	})

	// call makes the given number of requests, one after another.
	call := func(client *http.Client, requests int, body []byte) error {
		for range requests {
			response, err := client.Post("http://"+server.Address()+"/", "text/plain", bytes.NewReader(body))
			if err != nil {
				return err
			}
			got, err := io.ReadAll(response.Body)
			if err != nil {
				return err
			}
			if err := response.Body.Close(); err != nil {
				return err
			}
			if !bytes.Equal(got, body) {
				return io.ErrUnexpectedEOF
			}
		}
		return nil
	}

	DescribeTable("replies 400 to malformed requests, reports them and keeps serving", func(sent string) {
		conn, err := net.Dial("tcp", server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = conn.Write([]byte(sent))
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Close).To(BeTrue())
		told, ok, err := malformed.TakeUntil(5 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(told.Remote).To(Equal(conn.LocalAddr().String()))
		// Further bytes are neither parsed nor replied to.
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Expect(conn.Close()).To(Succeed())
		Expect(call(http.DefaultClient, 1, []byte("still here"))).To(Succeed())
	},
		Entry("binary bytes", "\x00\x01\x02\x03\r\n\r\n"),
		Entry("an unknown version", "GET / HTTP/9\r\nHost: x\r\n\r\n"),
		Entry("an invalid content length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ten\r\n\r\n"),
		Entry("an invalid chunk length", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
	)

	DescribeTable("replies to every request on many connections", func(keepAlive bool, callers, requests, size int) {
		var threads []*thread.Thread
		for range callers {
			transport := &http.Transport{DisableKeepAlives: !keepAlive}
			client := &http.Client{Transport: transport, Timeout: 20 * time.Second}
			threads = append(threads, thread.Start("caller", func() error {
				defer transport.CloseIdleConnections()
				return call(client, requests, bytes.Repeat([]byte("x"), size))
			}))
		}
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	},
		Entry("with keep-alive", true, 16, 200, 10),
		Entry("with a connection for each request", false, 64, 200, 10),
		Entry("with large responses and keep-alive", true, 4, 5, 3<<20),
		Entry("with large responses and a connection for each request", false, 4, 5, 3<<20),
	)
})
