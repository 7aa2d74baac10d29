package httpd_test

import (
	"bytes"
	"io"
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

// echo answers each request with its body, on a thread of its own.
type echo struct {
	inbox *ring.Ring[*httpd.Exchange]
}

func (e *echo) Serve(x *httpd.Exchange) { _ = e.inbox.Offer(x) }
func (e *echo) Gone(*httpd.Exchange)    {}

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
	var server *httpd.Server

	BeforeEach(func() {
		handler := &echo{inbox: ring.New[*httpd.Exchange]("echo", 256)}
		server = httpd.New(httpd.Config{Address: "127.0.0.1:0"}, handler)
		Expect(server.Open()).To(Succeed())
		t := thread.Start("echo", handler.run)
		DeferCleanup(func() {
			handler.inbox.Close()
			Expect(t.Join()).To(Succeed())
			server.Close()
		})
	})

	// call makes the given number of requests one after another.
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

	DescribeTable("answers every request of many connections", func(keepAlive bool, callers, requests, size int) {
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
		Entry("on connections that are kept", true, 16, 200, 10),
		Entry("on a connection for each", false, 64, 200, 10),
		Entry("with large answers on connections that are kept", true, 4, 5, 3<<20),
		Entry("with large answers on a connection for each", false, 4, 5, 3<<20),
	)
})
