package entry_test

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
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

const (
	// copyDelay is how long a repeating upstream waits before and after a copy, so that
	// the copy arrives where a response is due, and apart from it.
	copyDelay = 2 * time.Millisecond
	// repeatingCapacity bounds the connections and the runs of a repeating upstream.
	repeatingCapacity = 1024
)

// repeatingUpstream is an upstream that refuses some requests. If a request that it has
// refused comes again on the same connection and runs, a copy of the refusal comes before
// the response. It serves its connections concurrently.
type repeatingUpstream struct {
	listener net.Listener
	// refusal returns the refusal of a request; nil runs it. It is called on the threads
	// of the connections.
	refusal func(*http.Request) []byte
	// refused and ran have the ID of each refusal and of each run.
	refused, ran *ring.Ring[string]
	// accepted are the connections. The duty that accepts owns it while it runs.
	accepted []net.Conn
}

// repeatingUpstream starts an upstream that repeats refusals, without an entry.
func (s *site) repeatingUpstream(refusal func(*http.Request) []byte) *repeatingUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &repeatingUpstream{
		listener: ln, refusal: refusal,
		refused: ring.New[string]("refused", repeatingCapacity), ran: ring.New[string]("ran", repeatingCapacity),
	}
	t := thread.Start("repeating-upstream", u.run)
	DeferCleanup(func() {
		_ = ln.Close()
		Expect(t.Join()).To(Succeed())
	})
	return u
}

// register writes the entry of the upstream under an ID.
func (u *repeatingUpstream) register(s *site, id string) {
	s.write(operator.Upstream{
		ID: id, Service: "app", Address: u.listener.Addr().String(), FailureDomain: "z", Slots: 4, State: operator.Ready, Sequence: 1,
	}.Write)
}

// run accepts connections until the listener is closed, and then closes them.
func (u *repeatingUpstream) run() error {
	var threads []*thread.Thread
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			break
		}
		u.accepted = append(u.accepted, conn)
		threads = append(threads, thread.Start("repeating-connection", func() error {
			u.serve(conn)
			return nil
		}))
	}
	for i, t := range threads {
		_ = u.accepted[i].Close()
		if err := t.Join(); err != nil {
			return err
		}
	}
	return nil
}

// serve answers the requests of one connection.
func (u *repeatingUpstream) serve(conn net.Conn) {
	refusals := make(map[string][]byte)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt-Id")
		if refusal := u.refusal(r); refusal != nil {
			refusals[id] = refusal
			_ = u.refused.Offer(id)
			_, _ = conn.Write(refusal)
			continue
		}
		_ = u.ran.Offer(id)
		if refusals[id] != nil {
			time.Sleep(copyDelay)
			_, _ = conn.Write(refusals[id])
			time.Sleep(copyDelay)
		}
		_, _ = conn.Write(rawAnswer(r, http.StatusOK, "Response-Seal: seal\r\n", "own"))
	}
}

// drain returns the entries that a ring holds, counted.
func drain(from *ring.Ring[string]) map[string]int {
	counts := make(map[string]int)
	for {
		id, ok, err := from.TakeUntil(0)
		Expect(err).NotTo(HaveOccurred())
		if !ok {
			return counts
		}
		counts[id]++
	}
}
