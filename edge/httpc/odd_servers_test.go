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

// oddServer answers each request on a connection by the next of its scripts.
type oddServer struct {
	listener net.Listener
	scripts  []func(*net.TCPConn)
}

func (s *oddServer) run() error {
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

func says(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = c.Write([]byte(text)) }
}

func ends(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
}

func resets(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Write([]byte(text))
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

var _ = Describe("Client with odd servers", func() {
	const head = "HTTP/1.1 200 OK\r\nName: a\r\n"
	var (
		server  *oddServer
		client  *httpc.Client
		threads []*thread.Thread
	)

	// The address is not the one that 0.0.0.0 leads to.
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server = &oddServer{listener: ln}
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
	call := func() (*recorder, error) {
		r := newRecorder()
		Expect(client.Start(&httpc.Call{
			Address: server.listener.Addr().String(), Method: "GET", Path: "/x?y=%7e",
			Header: http.Header{"Name": {"a"}}, Echo: "Name", Timeout: 5 * time.Second, Sink: r,
		})).To(Succeed())
		err, takeErr := r.ended.Take()
		Expect(takeErr).NotTo(HaveOccurred())
		return r, err
	}

	It("reads a body without a length up to the end of the connection, and nothing more", func() {
		serve(ends(head + "\r\nwhole"))
		r, err := call()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.body)).To(Equal("whole"))
	})

	It("does not take a body without a length for whole after a reset", func() {
		serve(resets(head + "\r\nhal"))
		_, err := call()
		Expect(err).To(BeAssignableToTypeOf(&httpc.BrokenError{}))
	})

	It("does not take a head for a whole answer when a reset follows at once", func() {
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
			Expect(err).To(BeAssignableToTypeOf(&httpc.BrokenError{}))
		}
	})

	It("keeps a connection that is made just as another is reset", func() {
		const tries = 200
		scripts := make([]func(*net.TCPConn), 0, 2*tries)
		for range tries {
			scripts = append(scripts, func(c *net.TCPConn) {
				_, _ = c.Write([]byte(head + "\r\n"))
				_ = c.SetLinger(0)
				_ = c.Close()
			}, ends(head+"Connection: close\r\nContent-Length: 2\r\n\r\nok"))
		}
		serve(scripts...)
		for range tries {
			_, err := call()
			Expect(err).To(BeAssignableToTypeOf(&httpc.BrokenError{}))
			_, err = call()
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("does not take the answer of another request", func() {
		serve(
			says(head+"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nName: z\r\nContent-Length: 4\r\n\r\nlate"),
			says(head+"Content-Length: 2\r\n\r\nok"),
			says(head+"Content-Length: 2\r\n\r\nok"),
		)
		for range 2 {
			r, err := call()
			if err != nil {
				// The stray answer had come before the request.
				continue
			}
			Expect(string(r.body)).To(Equal("ok"))
		}
	})

	It("ends a call whose answer names another request", func() {
		serve(says("HTTP/1.1 200 OK\r\nName: z\r\nContent-Length: 4\r\n\r\nlate"))
		_, err := call()
		Expect(err).To(BeAssignableToTypeOf(&httpc.BrokenError{}))
	})

	It("does not reuse a connection that its server is about to close", func() {
		peers := ring.New[string]("peers", 2)
		answer := func(c *net.TCPConn) {
			_ = peers.Offer(c.RemoteAddr().String())
			says(head + "Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")(c)
		}
		serve(answer, answer)
		_, err := call()
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(900 * time.Millisecond)
		_, err = call()
		Expect(err).NotTo(HaveOccurred())
		first, err := peers.Take()
		Expect(err).NotTo(HaveOccurred())
		Expect(peers.Take()).NotTo(Equal(first))
	})
})
