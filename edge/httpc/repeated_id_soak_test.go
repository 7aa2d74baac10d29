package httpc_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// copyingServer refuses or runs requests at random, some before it has read their bodies,
// and sends copies of the refusals of a connection, whole or cut, at any time on it.
type copyingServer struct {
	listener net.Listener
	seed     uint64
	// runs are those of each connection. The thread of a connection owns its entry until
	// run has returned.
	runs []*connectionRuns
}

// connectionRuns are the requests that have run on one connection.
type connectionRuns struct {
	// seqs has the field Seq of each.
	seqs []string
	// again counts those with an ID that the connection had refused.
	again int
}

func (s *copyingServer) run() error {
	var threads []*thread.Thread
	var accepted []net.Conn
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		accepted = append(accepted, conn)
		random := rand.New(rand.NewPCG(s.seed, uint64(len(accepted))))
		runs := &connectionRuns{}
		s.runs = append(s.runs, runs)
		threads = append(threads, thread.Start("copying-connection", func() error {
			s.serve(conn, random, runs)
			return nil
		}))
	}
	for i, t := range threads {
		_ = accepted[i].Close()
		if err := t.Join(); err != nil {
			return err
		}
	}
	return nil
}

func (s *copyingServer) encode(random *rand.Rand, status int, id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Answer\r\n", status)
	fields := []string{"Name: " + id + "\r\n"}
	if status != http.StatusOK {
		fields = append(fields, "Not-Executed: 1\r\n")
	}
	random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	body := strings.Repeat("b", random.IntN(3)*20)
	prefix := ""
	if random.IntN(4) == 0 {
		prefix = "HTTP/1.1 100 Continue\r\n\r\n"
	}
	text := prefix + head + strings.Join(fields, "")
	if random.IntN(2) == 0 {
		if body == "" {
			return text + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return text + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (s *copyingServer) serve(conn net.Conn, random *rand.Rand, runs *connectionRuns) {
	defer func() { _ = conn.Close() }()
	refusals, refusedAs := map[string]string{}, map[string]bool{}
	reader := bufio.NewReader(conn)
	pause := func() {
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
		}
	}
	writeCopy := func(id string) {
		text, ok := refusals[id]
		if !ok || random.IntN(3) == 0 {
			for _, other := range refusals {
				text = other
				break
			}
		}
		if text == "" {
			return
		}
		if random.IntN(3) == 0 {
			text = text[:random.IntN(len(text))]
		}
		pause()
		_, _ = io.WriteString(conn, text)
		pause()
	}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Name")
		isEarly := random.IntN(2) == 0
		if !isEarly {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if random.IntN(4) == 0 {
			writeCopy(id)
		}
		if random.IntN(2) == 0 {
			refusedAs[r.Header.Get("Exact")] = true
			refusals[id] = s.encode(random, http.StatusServiceUnavailable, id)
			_, _ = io.WriteString(conn, refusals[id])
		} else {
			runs.seqs = append(runs.seqs, r.Header.Get("Seq"))
			if refusedAs[r.Header.Get("Exact")] {
				runs.again++
			}
			if refusals[id] != "" {
				writeCopy(id)
			}
			_, _ = io.WriteString(conn, s.encode(random, http.StatusOK, id))
		}
		if isEarly {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if random.IntN(8) == 0 {
			writeCopy(id)
		}
	}
}

// Guards against a request being taken for refused although it ran, whatever else happens
// on its connection: calls with few IDs from many threads, early responses to long bodies,
// interim responses, cancels and copies at any time.
var _ = DescribeTable("Client with few IDs and a server that repeats refusals at random", func(seed uint64) {
	const (
		workers = 6
		calls   = 400
	)
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	server := &copyingServer{listener: ln, seed: seed}
	client := httpc.New(httpc.Config{})
	Expect(client.Open()).To(Succeed())
	threads := []*thread.Thread{thread.Start("client", client.Run), thread.Start("server", server.run)}
	ids := []string{"a", "A", " a", "a ", "b", "a\t", "c", "d", ""}
	// outcomes are the calls of each worker by their outcome.
	type outcomes struct{ refused, answered, failed []string }
	byWorker := make([]outcomes, workers)
	var callers []*thread.Thread
	for w := range workers {
		own := &byWorker[w]
		random := rand.New(rand.NewPCG(seed, uint64(1000+w)))
		callers = append(callers, thread.Start("caller", func() error {
			for i := range calls {
				seq := fmt.Sprintf("%d-%d", w, i)
				id := ids[random.IntN(len(ids))]
				if random.IntN(4) == 0 {
					id = fmt.Sprintf("own-%s", seq)
				}
				r := newRecorder()
				call := &httpc.Call{
					Address: ln.Addr().String(), Method: "POST", Path: "/", Header: http.Header{"Name": {id}, "Seq": {seq}, "Exact": {strconv.Quote(id)}},
					Body: make([]byte, random.IntN(2)*random.IntN(300<<10)), EchoHeader: "Name", Timeout: 2 * time.Second, Sink: r,
				}
				if err := client.Start(call); err != nil {
					return err
				}
				if random.IntN(12) == 0 {
					time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
					_ = client.Cancel(call)
				}
				failed, err := r.ended.Take()
				if err != nil {
					return err
				}
				switch {
				case failed != nil:
					own.failed = append(own.failed, seq)
				case r.status == http.StatusOK:
					own.answered = append(own.answered, seq)
				default:
					own.refused = append(own.refused, seq)
				}
			}
			return nil
		}))
	}
	for _, t := range callers {
		Expect(t.Join()).To(Succeed())
	}
	client.Close()
	_ = ln.Close()
	for _, t := range threads {
		Expect(t.Join()).To(Succeed())
	}
	ran, again := make(map[string]bool), 0
	for _, runs := range server.runs {
		again += runs.again
		for _, seq := range runs.seqs {
			ran[seq] = true
		}
	}
	var all outcomes
	for _, own := range byWorker {
		all.refused = append(all.refused, own.refused...)
		all.answered = append(all.answered, own.answered...)
		all.failed = append(all.failed, own.failed...)
	}
	GinkgoWriter.Printf("refused %d answered %d failed %d, sent again on one connection %d\n", len(all.refused), len(all.answered), len(all.failed), again)
	Expect(len(all.refused)).To(BeNumerically(">", calls/10))
	Expect(len(all.answered)).To(BeNumerically(">", calls/10))
	for _, seq := range all.refused {
		Expect(ran).NotTo(HaveKey(seq), "refused, but ran")
	}
	for _, seq := range all.answered {
		Expect(ran).To(HaveKey(seq))
	}
	Expect(again).To(BeZero(), "runs on a connection that had refused the same ID")
}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)))
