package httpc_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// scriptedServer runs the next of its scripts for each request it receives.
type scriptedServer struct {
	listener net.Listener
	scripts  []func(*net.TCPConn)
}

func (s *scriptedServer) run() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil
		}
		reader := bufio.NewReader(tcp)
		for len(s.scripts) > 0 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			script := s.scripts[0]
			s.scripts = s.scripts[1:]
			script(tcp)
		}
		_ = tcp.Close()
	}
}

func respond(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = c.Write([]byte(text)) }
}

func respondAndClose(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
}

func respondAndReset(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Write([]byte(text))
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

var _ = Describe("Client with misbehaving servers", func() {
	const head = "HTTP/1.1 200 OK\r\nName: a\r\n"
	var (
		server  *scriptedServer
		client  *httpc.Client
		threads []*thread.Thread
	)

	// A connect to 0.0.0.0 reaches 127.0.0.1. With 127.0.0.2 these tests fail if
	// the client dials 0.0.0.0 instead of the given address.
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server = &scriptedServer{listener: ln}
		client = httpc.New(httpc.Config{})
		Expect(client.Open()).To(Succeed())
		threads = []*thread.Thread{thread.Start("client", client.Run)}
	})

	AfterEach(func() {
		client.Close()
		_ = server.listener.Close()
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	})

	serve := func(scripts ...func(*net.TCPConn)) {
		server.scripts = scripts
		threads = append(threads, thread.Start("server", server.run))
	}
	callWith := func(id string) (*recorder, error) {
		r := newRecorder()
		Expect(client.Start(&httpc.Call{
			Address: server.listener.Addr().String(), Method: "GET", Path: "/x?y=%7e",
			Header: http.Header{"Name": {id}}, EchoHeader: "Name", Timeout: 5 * time.Second, Sink: r,
		})).To(Succeed())
		err, takeErr := r.ended.Take()
		Expect(takeErr).NotTo(HaveOccurred())
		return r, err
	}
	call := func() (*recorder, error) { return callWith("a") }

	It("reads a body without a length up to the end of the connection, and nothing more", func() {
		serve(respondAndClose(head + "\r\nwhole"))
		r, err := call()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.body)).To(Equal("whole"))
	})

	It("reports a body without a length as incomplete after a reset", func() {
		serve(respondAndReset(head + "\r\nhal"))
		_, err := call()
		Expect(err).To(BeAssignableToTypeOf(&httpc.IncompleteError{}))
	})

	// The server resets the connection right after the header. If the client
	// does not read the error, the response looks complete with an empty body.
	It("reports a response as incomplete when a reset directly follows its header", func() {
		const tries = 30
		scripts := make([]func(*net.TCPConn), tries)
		for i := range scripts {
			scripts[i] = func(c *net.TCPConn) {
				_, _ = c.Write([]byte(head + "\r\n"))
				_ = c.SetLinger(0)
				_ = c.Close()
			}
		}
		serve(scripts...)
		for range tries {
			_, err := call()
			Expect(err).To(BeAssignableToTypeOf(&httpc.IncompleteError{}))
		}
	})

	// A new connection reuses the descriptor of one that was just reset. A late
	// event of the old connection must not close the new one.
	It("is not affected by the reset of an earlier connection with the same descriptor", func() {
		const tries = 200
		scripts := make([]func(*net.TCPConn), 0, 2*tries)
		for range tries {
			scripts = append(scripts, func(c *net.TCPConn) {
				_, _ = c.Write([]byte(head + "\r\n"))
				_ = c.SetLinger(0)
				_ = c.Close()
			}, respondAndClose(head+"Connection: close\r\nContent-Length: 2\r\n\r\nok"))
		}
		serve(scripts...)
		for range tries {
			_, err := call()
			Expect(err).To(BeAssignableToTypeOf(&httpc.IncompleteError{}))
			_, err = call()
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("does not deliver the response to another request", func() {
		serve(
			respond(head+"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nName: z\r\nContent-Length: 4\r\n\r\nlate"),
			respond(head+"Content-Length: 2\r\n\r\nok"),
			respond(head+"Content-Length: 2\r\n\r\nok"),
		)
		for range 2 {
			r, err := call()
			if err != nil {
				// The unsolicited response arrived before the request was sent.
				continue
			}
			Expect(string(r.body)).To(Equal("ok"))
		}
	})

	It("fails a call whose response repeats the header of another request", func() {
		serve(respond("HTTP/1.1 200 OK\r\nName: z\r\nContent-Length: 4\r\n\r\nlate"))
		_, err := call()
		Expect(err).To(BeAssignableToTypeOf(&httpc.IncompleteError{}))
	})

	It("does not reuse a connection that its server is about to close", func() {
		peers := ring.New[string]("peers", 2)
		answer := func(id string) func(*net.TCPConn) {
			return func(c *net.TCPConn) {
				_ = peers.Offer(c.RemoteAddr().String())
				respond("HTTP/1.1 200 OK\r\nName: " + id + "\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")(c)
			}
		}
		serve(answer("a"), answer("b"))
		_, err := callWith("a")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(900 * time.Millisecond)
		_, err = callWith("b")
		Expect(err).NotTo(HaveOccurred())
		first, err := peers.Take()
		Expect(err).NotTo(HaveOccurred())
		Expect(peers.Take()).NotTo(Equal(first))
	})
})
