package httpc_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

const (
	// longRequestBytes is more than the buffers of both ends hold.
	longRequestBytes = 8 << 20
	earlyHead        = "HTTP/1.1 200 OK\r\nName: a\r\n\r\n"
)

// slowRecorder is a recorder that takes its time with each part of the body, so that the
// end of the connection has arrived before it is read.
type slowRecorder struct{ *recorder }

func (r *slowRecorder) Body(p []byte) error {
	time.Sleep(2 * time.Millisecond)
	return r.recorder.Body(p)
}

// sendLong sends long requests, one after the other, to a server that handles each
// connection by a script. It passes each response on to check.
func sendLong(tries int, script func(*net.TCPConn), check func(*recorder, error)) {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	client := startClient(ln, func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				script(tcp)
			}
			_ = conn.Close()
		}
	})
	long := bytes.Repeat([]byte("x"), longRequestBytes)
	for range tries {
		r := newRecorder()
		Expect(client.Start(&httpc.Call{
			Address: ln.Addr().String(), Method: "POST", Path: "/", Header: http.Header{"Name": {"a"}}, EchoHeader: "Name",
			Body: long, Timeout: 5 * time.Second, Sink: &slowRecorder{r},
		})).To(Succeed())
		failed, takeErr := r.ended.Take()
		Expect(takeErr).NotTo(HaveOccurred())
		check(r, failed)
	}
}

// Guards against a part of a body that looks whole: a server answers before it has read a
// long request, without a length, and resets the connection while the rest of the request
// is still being written.
var _ = DescribeTable("Client with a server that resets the connection during a long request",
	func(tries int, part string, end func(*net.TCPConn)) {
		sendLong(tries, func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write([]byte(earlyHead + part))
			end(c)
		}, func(r *recorder, failed error) {
			GinkgoHelper()
			Expect(failed).To(BeAssignableToTypeOf(&httpc.IncompleteError{}), "body %q", r.body)
		})
	},
	Entry("at once, with a part of the body", 20, "hal", resetAfter(0)),
	Entry("soon, with a part of the body", 20, "hal", resetAfter(time.Millisecond)),
	Entry("later, with a part of the body", 20, "hal", resetAfter(20*time.Millisecond)),
	Entry("at once, with the head alone", 20, "", resetAfter(0)),
	Entry("later, with the head alone", 20, "", resetAfter(20*time.Millisecond)),
	// The end of the connection is sent in order, since nothing is left to be read, and the
	// reset follows when more of the request arrives.
	Entry("after it has closed it", 40, "hal", func(c *net.TCPConn) {
		piece := make([]byte, 256<<10)
		for n := len(piece); n == len(piece); n, _ = c.Read(piece) {
		}
	}),
)

// resetAfter returns the end of a script that resets the connection after a pause.
func resetAfter(pause time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		_ = c.SetLinger(0)
	}
}

// Guards against a sound response being failed: a server may answer before it has read a
// long request, without a length, and end the response in order while it reads on.
var _ = DescribeTable("Client with a server that answers before it has read a long request",
	func(isRead bool) {
		sendLong(10, func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write([]byte(earlyHead + "whole"))
			if isRead {
				_, _ = io.CopyN(io.Discard, c, longRequestBytes-(1<<10))
			}
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, func(r *recorder, failed error) {
			GinkgoHelper()
			Expect(failed).NotTo(HaveOccurred())
			Expect(string(r.body)).To(Equal("whole"))
		})
	},
	Entry("and ends the response before it reads on", false),
	Entry("and ends the response after it has read on", true),
)

// Guards against a part of a body that looks whole when this process stops: the client
// itself ends the connection, not the server.
var _ = It("Client that is closed does not end a body without a length as whole", func() {
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	server := &scriptedServer{listener: ln, scripts: []func(*net.TCPConn){func(c *net.TCPConn) {
		_, _ = c.Write([]byte(earlyHead + "hal"))
		// The server waits for the end of the connection.
		_, _ = c.Read(make([]byte, 1))
	}}}
	serving := thread.Start("server", server.run)
	client := httpc.New(httpc.Config{})
	Expect(client.Open()).To(Succeed())
	running := thread.Start("client", client.Run)
	r := newRecorder()
	Expect(client.Start(&httpc.Call{
		Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {"a"}}, EchoHeader: "Name",
		Timeout: 5 * time.Second, Sink: r,
	})).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	client.Close()
	Expect(running.Join()).To(Succeed())
	_ = ln.Close()
	Expect(serving.Join()).To(Succeed())
	Expect(string(r.body)).To(Equal("hal"))
	// Close allows that neither Done nor Failed is called.
	failed, ended, takeErr := r.ended.TakeUntil(time.Millisecond)
	Expect(takeErr).NotTo(HaveOccurred())
	if ended {
		Expect(failed).To(HaveOccurred())
	}
})
