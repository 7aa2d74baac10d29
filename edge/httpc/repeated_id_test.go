package httpc_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// refusingServer refuses each request that is the first with its ID on its connection. It
// answers a later one with a copy of the refusal, and then with its own response. The body
// of each response is the number of the connection.
type refusingServer struct {
	listener net.Listener
	accepted []net.Conn
}

func (s *refusingServer) run() error {
	var threads []*thread.Thread
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		s.accepted = append(s.accepted, conn)
		number := len(s.accepted)
		threads = append(threads, thread.Start("refusing-connection", func() error {
			serveRefusing(conn, number)
			return nil
		}))
	}
	for i, t := range threads {
		_ = s.accepted[i].Close()
		if err := t.Join(); err != nil {
			return err
		}
	}
	return nil
}

func serveRefusing(conn net.Conn, number int) {
	seen := make(map[string]bool)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Name")
		body := fmt.Sprint(number)
		name := ""
		if id != "" {
			name = "Name: " + id + "\r\n"
		}
		answer := func(status int) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Answer\r\n%sContent-Length: %d\r\n\r\n%s", status, name, len(body), body)
		}
		answer(http.StatusServiceUnavailable)
		if seen[id] {
			time.Sleep(time.Millisecond)
			answer(http.StatusOK)
		}
		seen[id] = true
	}
}

// Guards against a copy of the first response to an ID being taken for the second one.
var _ = Describe("Client with calls that have the same ID", func() {
	var (
		server  *refusingServer
		client  *httpc.Client
		threads []*thread.Thread
	)

	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server = &refusingServer{listener: ln}
		client = httpc.New(httpc.Config{})
		Expect(client.Open()).To(Succeed())
		threads = []*thread.Thread{thread.Start("client", client.Run), thread.Start("server", server.run)}
	})

	AfterEach(func() {
		client.Close()
		_ = server.listener.Close()
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	})

	// call makes a call and returns the number of its connection and how it was sent.
	call := func(id string) (connection string, sent httpc.Sent) {
		r := newRecorder()
		Expect(client.Start(&httpc.Call{
			Address: server.listener.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {id}}, EchoHeader: "Name",
			Timeout: 5 * time.Second, Sink: r, OnSent: func(s httpc.Sent) { sent = s },
		})).To(Succeed())
		failed, err := r.ended.Take()
		Expect(err).NotTo(HaveOccurred())
		Expect(failed).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusServiceUnavailable), "a connection carried %s twice", id)
		return string(r.body), sent
	}

	DescribeTable("sends each over another connection", func(id string) {
		used := make(map[string]bool)
		for i := range 5 {
			connection, sent := call(id)
			Expect(used).NotTo(HaveKey(connection))
			Expect(sent.Skipped).To(Equal(min(i, 1)))
			Expect(sent.RepeatsID).To(BeFalse())
			used[connection] = true
		}
	},
		Entry("an ID", "same"),
		Entry("the empty ID, as which a missing one counts", ""),
	)

	It("goes on using a connection for other IDs", func() {
		first, _ := call("first")
		for i := range 20 {
			connection, sent := call(fmt.Sprint(i))
			Expect(connection).To(Equal(first))
			Expect(sent).To(HaveField("Calls", i+1))
			Expect(sent).To(HaveField("Skipped", 0))
		}
		second, _ := call("first")
		Expect(second).NotTo(Equal(first))
	})

	It("closes a connection that has carried as many IDs as it keeps", func() {
		const calls = 1024
		first, _ := call("0")
		for i := 1; i < calls; i++ {
			connection, _ := call(fmt.Sprint(i))
			Expect(connection).To(Equal(first))
		}
		next, sent := call("0")
		Expect(next).NotTo(Equal(first))
		Expect(sent.Calls).To(BeZero())
	})
})
